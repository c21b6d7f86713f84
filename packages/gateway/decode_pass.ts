import { type BackendResponse, readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import { withoutHeaders } from "./_without_headers.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import { engineIdleTimeout } from "./engine_idle_timeout.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";
import { relayEvents } from "./relay_events.ts";

/** Time in milliseconds that an engine is avoided after it did not answer. */
const AVOID_MILLISECONDS = 800;
/** Speed in prompt tokens per millisecond below which a decode engine that computes a prompt itself counts as failed. */
const SLOWEST_LOCAL_TOKENS_PER_MILLISECOND = 5;
/** Time in milliseconds allowed for the body of an error response. */
const ERROR_BODY_MILLISECONDS = 2_500;
const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** A run of a request at the decode engine that holds its reservation. */
interface DecodeRun {
    request: GatewayRequest;
    reservation: DecodeReservation;
    /** Alternating names and values. */
    extraHeaders: string[];
    progress: PassProgress;
    /** Prompt tokens that the decode engine computes itself. */
    localPrefillTokens: number;
}

/**
 * Runs requests at decode engines: sends a request to the engine that holds its reservation and relays the answer.
 *
 * @example
 * ```ts
 * const outcome = await new DecodePass(context).run(run, () => {});
 * ```
 */
export class DecodePass {
    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {}

    /**
     * Sends a request to its decode engine and relays the answer.
     *
     * @param run The run.
     * @param onFirstEvent Called for each event; the first one shows that the prompt has been computed.
     * @returns How the run ended.
     */
    async run(run: DecodeRun, onFirstEvent: () => void): Promise<PassOutcome> {
        const { request, reservation, extraHeaders, progress, localPrefillTokens } = run;
        const { headers, serverClient, serverLoads, metrics } = this.context;
        const { server } = reservation;
        const load = serverLoads.get(server.id);
        load.recordSend();
        const response = await serverClient.send(server, {
            method: request.method,
            path: request.path,
            headers: [...withoutHeaders(backendHeaders(request, server, headers), extraHeaders), ...extraHeaders],
            body: request.body.length > 0 ? request.body : undefined,
            timeoutMilliseconds: Math.min(
                engineIdleTimeout(request, progress) + localPrefillTokens / SLOWEST_LOCAL_TOKENS_PER_MILLISECOND,
                request.deadline - monotonicMilliseconds(),
            ),
            signal: request.signal,
            correlation: { header: headers.requestId, value: request.id },
        });
        if (response.isErr()) {
            metrics.increment("decodes_total", { result: response.error.kind });
            if (response.error.verdict === "not-run") {
                load.recordFailure();
            }
            if (response.error.kind !== "aborted") {
                load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
            }
            return { kind: response.error.verdict, message: response.error.message };
        }
        const { status } = response.value;
        metrics.increment("decodes_total", { result: String(status) });
        if (status === 421 || response.value.headers[headers.notRun] !== undefined) {
            await readResponseBody(response.value, ERROR_BODY_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
            if (status === 421) {
                serverLoads.markTerminated(server.id);
                this.context.crashRegistry.recordServerEnd(server.id);
                return { kind: "moved", message: "Another server answers at the engine's address" };
            }
            const kind = this.context.availability.isUsable(server) ? "not-run" : "withheld";
            return { kind, message: `The decode engine answered with status ${status}` };
        }
        if (status !== 200) {
            return await this.#relayErrorResponse(request, response.value);
        }
        const signedUnencoded = response.value.headers[headers.signature] !== undefined
            && response.value.headers["content-encoding"] === undefined;
        if (!signedUnencoded) {
            response.value.close();
            return { kind: "may-have-run", message: "The engine's answer is not signed or is encoded" };
        }
        return await relayEvents(
            { request, reservation, progress, onEvent: onFirstEvent },
            response.value,
            this.context,
        );
    }

    async #relayErrorResponse(request: GatewayRequest, backendResponse: BackendResponse): Promise<PassOutcome> {
        const body = await readResponseBody(backendResponse, ERROR_BODY_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
        const { response } = request;
        if (!body || response.headersSent || response.destroyed || request.route.resumable) {
            return {
                kind: "may-have-run",
                message: `The decode engine answered with status ${backendResponse.status}`,
            };
        }
        response.writeHead(backendResponse.status, [
            ...filterRawHeaders(backendResponse.rawHeaders, NO_HEADERS),
            "Content-Length",
            String(body.length),
        ]);
        response.end(body);
        return { kind: "relayed" };
    }
}
