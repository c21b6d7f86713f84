import { type BackendResponse, isResponseComplete } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import { engineIdleTimeout } from "./engine_idle_timeout.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";

const NONE: ReadonlySet<string> = new Set();

/** A stream that is relayed to its caller. */
interface RelayedStream {
    request: GatewayRequest;
    grant: DecodeReservation;
    progress: PassProgress;
    /** Called at each event; the first one shows that the prompt has been computed. */
    onEvent: () => void;
}

/**
 * Relays the events of a decode engine, whole and in order, until the stream ends, breaks off or falls silent.
 *
 * @param stream The request with what it has received so far, which is brought up to date.
 * @param answer Answer of the engine, of which the head has come.
 * @param services What the gateway works with.
 * @returns How the stream ended.
 * @example
 * ```ts
 * const outcome = await relayEvents({ request, grant, progress, onEvent }, answer, services);
 * ```
 */
export function relayEvents(
    stream: RelayedStream,
    answer: BackendResponse,
    services: GatewayContext,
): Promise<PassOutcome> {
    const { request, grant, progress, onEvent } = stream;
    const { response } = request;
    const splitter = new EventSplitter();
    return new Promise(resolve => {
        let finished = false;
        const finish = (outcome: PassOutcome) => {
            if (finished) {
                return;
            }
            finished = true;
            clearTimeout(silence);
            request.signal.removeEventListener("abort", abort);
            if (outcome.kind === "completed") {
                services.serverLoads.get(grant.server.id).recordSuccess();
                response.end();
            }
            else {
                answer.close();
            }
            services.metrics.increment("streams_total", { result: outcome.kind });
            resolve(outcome);
        };
        const abort = () => finish({ kind: "broken", message: "The request was given up" });
        const gap = engineIdleTimeout(request, progress);
        const fallSilent = () => finish({ kind: "broken", message: "The stream fell silent" });
        let silence = setTimeout(fallSilent, gap);
        request.signal.addEventListener("abort", abort, { once: true });
        answer.body.on("data", (chunk: Buffer) => {
            if (finished) {
                return;
            }
            for (const event of splitter.push(chunk)) {
                const expected = progress.lastEventId === undefined ? event.id : progress.lastEventId + 1;
                if (event.id === undefined || (progress.lastEventId !== undefined && event.id !== expected)) {
                    finish({ kind: "broken", message: `Event ${event.id} came in place of ${expected}` });
                    return;
                }
                progress.lastEventId = event.id;
                onEvent();
                if (!response.headersSent) {
                    services.metrics.observe("first_event", monotonicMilliseconds() - request.receivedAt);
                    response.writeHead(200, filterRawHeaders(answer.rawHeaders, NONE));
                }
                response.write(event.bytes);
            }
            clearTimeout(silence);
            silence = setTimeout(fallSilent, gap);
        });
        answer.body.on("close", () => {
            const whole = isResponseComplete(answer) && splitter.pendingBytes === 0 && response.headersSent;
            finish(whole ? { kind: "completed" } : { kind: "broken", message: "The stream broke off" });
        });
    });
}
