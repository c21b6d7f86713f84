import { type BackendConnection, readResponseBody } from "../backends/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { logFailure } from "../logs/mod.ts";
import type { EngineCall } from "./engine_call.ts";
import type { GatewayContext } from "./gateway_context.ts";

const RELEASE_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;

/** Status of a response by another server than the expected one. */
const ANOTHER_SERVER_STATUS = 421;

/** What an engine has answered to a call. */
interface EngineAnswer {
    /** HTTP status; 0 if there was no complete response. */
    status: number;
    body: string;
    /** The connection that the response came over; undefined if there was none. */
    connection: BackendConnection | undefined;
    /** Whether no process of the engine is at its address: the port is closed, or another server answers. */
    isGone: boolean;
}

/**
 * Sends control calls to engines.
 *
 * @example
 * ```ts
 * const client = new EngineClient(context);
 * const response = await client.call(server, engineProtocol.report(), 500);
 * ```
 */
export class EngineClient {
    /**
     * @param context Shared objects of the gateway.
     */
    constructor(
        private readonly context: Pick<GatewayContext, "serverClient" | "headers" | "metrics" | "logger" | "directory">,
    ) {}

    /**
     * Calls an engine.
     *
     * @param server The engine.
     * @param call The call.
     * @param timeoutMilliseconds Timeout for the response, and again for its body.
     * @returns Status and body, and the connection that they came over; status 0 if there was no complete response.
     */
    async call(
        server: RegisteredServer,
        call: EngineCall,
        timeoutMilliseconds: number,
    ): Promise<EngineAnswer> {
        const { serverClient, headers, metrics } = this.context;
        const response = await serverClient.send(server, {
            method: call.method,
            path: call.path,
            headers: [
                "Host",
                server.address,
                headers.expectedServer,
                server.id,
                ...call.body === undefined ? [] : ["Content-Type", "application/json"],
            ],
            body: call.body === undefined ? undefined : Buffer.from(call.body),
            timeoutMilliseconds,
            correlation: { header: headers.requestId, value: undefined },
        });
        const name = call.path.split("/")[1] ?? "";
        if (response.isErr()) {
            metrics.increment("engine_calls_total", { call: name, result: response.error.kind });
            const { message, portClosed } = response.error;
            return { status: 0, body: message, connection: undefined, isGone: portClosed };
        }
        metrics.increment("engine_calls_total", { call: name, result: String(response.value.status) });
        const body = await readResponseBody(response.value, timeoutMilliseconds, MAXIMUM_RESPONSE_BYTES);
        const { status, connection } = response.value;
        const isGone = status === ANOTHER_SERVER_STATUS;
        return body
            ? { status, body: body.toString("utf8"), connection, isGone }
            : { status: 0, body: "The response is incomplete", connection, isGone };
    }

    /**
     * Sends a release to an engine without waiting for the response. If it fails, the engine lets the resource expire. An
     * engine that has started again holds nothing of before, and may have given the same name to what others hold.
     *
     * @param server The engine.
     * @param call The call.
     */
    release(server: RegisteredServer, call: EngineCall): void {
        const { logger, directory } = this.context;
        const registered = directory.servers.get(server.id);
        if (registered && registered.startedAt !== server.startedAt) {
            return;
        }
        const fields = { server: server.id, path: call.path };
        this.call(server, call, RELEASE_TIMEOUT_MILLISECONDS).catch(logFailure(logger, "release failed", fields));
    }
}
