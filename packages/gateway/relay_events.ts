import { type BackendResponse, isResponseComplete } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";
import type { SilenceWatch } from "./silence_watch.ts";
import { watchAnswerEnd } from "./watch_answer_end.ts";

/** Bytes of a stream that its caller has not taken, from which nothing more is read from the engine. */
const MAXIMUM_UNSENT_BYTES = 32_768;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** A stream that is relayed to its caller. */
interface RelayedStream {
    request: GatewayRequest;
    reservation: DecodeReservation;
    progress: PassProgress;
    /** Aborts when the stream is given up. */
    watch: SilenceWatch;
    /** Called for each event; the first one shows that the prompt has been computed. */
    onEvent: () => void;
    /** Resolves to whether events of this engine may follow those that the caller has; undefined if they may. */
    isAdmitted?: Promise<boolean> | undefined;
}

/**
 * Relays the events of a decode engine, complete and in order, until the stream ends, fails or is given up.
 *
 * @param stream The stream; its progress is updated.
 * @param backendResponse Response of the engine, of which the headers have arrived.
 * @param context Shared objects of the gateway.
 * @returns How the stream ended.
 * @example
 * ```ts
 * const outcome = await relayEvents({ request, reservation, progress, watch, onEvent }, backendResponse, context);
 * ```
 */
export function relayEvents(
    stream: RelayedStream,
    backendResponse: BackendResponse,
    context: GatewayContext,
): Promise<PassOutcome> {
    const { request, reservation, progress, watch, onEvent, isAdmitted } = stream;
    const { response } = request;
    const splitter = new EventSplitter();
    const findEndState = watchAnswerEnd(backendResponse, async () =>
        hasAllEvents(request)
            ? "running"
            : await context.answerEndCheck.confirm(reservation.server, request.service, watch.signal));
    return new Promise(resolve => {
        let finished = false;
        const finish = (outcome: PassOutcome) => {
            if (finished) {
                return;
            }
            finished = true;
            watch.close();
            watch.signal.removeEventListener("abort", abort);
            if (outcome.kind === "completed") {
                context.serverLoads.get(reservation.server.id).recordSuccess();
                response.end();
            }
            else {
                backendResponse.close();
            }
            context.metrics.increment("streams_total", { result: outcome.kind });
            resolve(outcome);
        };
        const abort = () => {
            finish({
                kind: "broken",
                message: watch.isGivenUp ? "The stream fell silent" : "The request was given up",
                ...watch.isGivenUp ? { isGivenUp: true } : {},
            });
        };
        watch.signal.addEventListener("abort", abort, { once: true });
        backendResponse.body.on("data", (chunk: Buffer) => {
            if (finished) {
                return;
            }
            const events = splitter.push(chunk);
            if (splitter.isTooLarge) {
                finish({ kind: "broken", message: "An event has no end" });
                return;
            }
            for (const event of events) {
                const expected = progress.lastEventId === undefined ? event.id : progress.lastEventId + 1;
                if (event.id === undefined || (progress.lastEventId !== undefined && event.id !== expected)) {
                    finish({ kind: "broken", message: `Event ${event.id} came in place of ${expected}` });
                    return;
                }
                progress.lastEventId = event.id;
                onEvent();
                if (!response.headersSent) {
                    context.metrics.observe("first_event", monotonicMilliseconds() - request.receivedAt);
                    response.writeHead(200, filterRawHeaders(backendResponse.rawHeaders, NO_HEADERS));
                }
                response.write(event.bytes);
                request.exchange.events++;
                request.exchange.lastEventId = event.id;
            }
            // Only a whole event shows that the engine makes progress.
            if (events.length > 0) {
                watch.touch();
            }
            if (response.writableLength > MAXIMUM_UNSENT_BYTES) {
                backendResponse.body.pause();
                watch.pause();
                response.once("drain", () => {
                    watch.touch();
                    backendResponse.body.resume();
                });
            }
        });
        if (isAdmitted) {
            backendResponse.body.pause();
            // The engine may have written; what is waited for has a limit of its own.
            watch.pause();
            isAdmitted.then(admitted => {
                if (admitted) {
                    watch.touch();
                    backendResponse.body.resume();
                }
                else {
                    finish({
                        kind: "broken",
                        message: "Another process than the registered one answers",
                        isGivenUp: true,
                    });
                }
            }, (error: unknown) => finish({ kind: "broken", message: String(error) }));
        }
        backendResponse.body.on("close", async () => {
            const isWhole = isResponseComplete(backendResponse) && splitter.pendingBytes === 0 && response.headersSent;
            if (!isWhole) {
                finish({ kind: "broken", message: "The stream broke off" });
                return;
            }
            // The check has a limit of its own.
            watch.pause();
            const state = await findEndState();
            finish(
                state === "running"
                    ? { kind: "completed" }
                    : { kind: "broken", message: `The stream ended with its connection, its engine is ${state}` },
            );
        });
    });
}

/** Whether the caller has got as many events as its request allows tokens; an event may hold several. */
function hasAllEvents({ outputTokens, exchange }: GatewayRequest): boolean {
    return outputTokens > 0 && exchange.events >= outputTokens;
}
