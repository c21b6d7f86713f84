import { readResponseBody } from "../backends/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { EngineCall } from "./engine_call.ts";
import type { GatewayContext } from "./gateway_context.ts";

const MAXIMUM_ANSWER_BYTES = 1_024 * 1_024;

/**
 * Makes the calls that control engines.
 *
 * @example
 * ```ts
 * const caller = new EngineCaller(services);
 * const answer = await caller.call(server, engines.report(), 500);
 * ```
 */
export class EngineClient {
    /**
     * @param services What the gateway works with.
     */
    constructor(private readonly services: GatewayContext) {}

    /**
     * Calls an engine.
     *
     * @param server The engine.
     * @param call The call.
     * @param timeoutMilliseconds Time allowed.
     * @returns Status and body; status 0 when there was no answer.
     */
    async call(
        server: RegisteredServer,
        call: EngineCall,
        timeoutMilliseconds: number,
    ): Promise<{ status: number; body: string; }> {
        const { connections, headers, metrics } = this.services;
        const answer = await connections.send({
            address: server.address,
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
        });
        const name = call.path.split("/")[1] ?? "";
        if (answer.isErr()) {
            metrics.increment("engine_calls_total", { call: name, result: answer.error.kind });
            return { status: 0, body: answer.error.message };
        }
        metrics.increment("engine_calls_total", { call: name, result: String(answer.value.status) });
        const body = await readResponseBody(answer.value, timeoutMilliseconds, MAXIMUM_ANSWER_BYTES);
        return body ? { status: answer.value.status, body: body.toString("utf8") } : { status: 0, body: "broke off" };
    }

    /**
     * Releases something at an engine without waiting; what is not released expires by itself.
     *
     * @param server The engine.
     * @param call The call.
     */
    release(server: RegisteredServer, call: EngineCall): void {
        void this.call(server, call, 1_000);
    }
}
