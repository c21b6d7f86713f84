import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";

/** Number of delivered events that show that the prompt does not crash its engine; a crash may follow the first one. */
const CLEARING_EVENTS = 2;

/**
 * What one run of a request at a decode engine shows about the parts of its prompt: they are sound, or they may have
 * crashed the engine.
 *
 * @example
 * ```ts
 * const evidence = new CrashEvidence(context, request, server, performance.now());
 * evidence.recordEvent();
 * evidence.recordOutcome({ kind: "completed" });
 * ```
 */
export class CrashEvidence {
    #events = 0;

    /**
     * @param context Shared objects of the gateway.
     * @param request The request.
     * @param server The engine.
     * @param sentAt Monotonic time in milliseconds at which the request was sent.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly request: GatewayRequest,
        private readonly server: RegisteredServer,
        private readonly sentAt: number,
    ) {}

    /** Records that an event was delivered. */
    recordEvent(): void {
        if (++this.#events === CLEARING_EVENTS) {
            this.context.promptParts.recordServed(this.request.promptParts);
        }
    }

    /**
     * Records how the run ended.
     *
     * @param outcome The outcome.
     */
    recordOutcome(outcome: PassOutcome): void {
        const { promptParts, crashRegistry, serverEndProbe } = this.context;
        const { request, server, sentAt } = this;
        if (outcome.kind === "completed") {
            promptParts.recordServed(request.promptParts);
        }
        if (outcome.kind === "may-have-run" || outcome.kind === "broken") {
            const isSuspect = this.#events < CLEARING_EVENTS;
            const run = isSuspect ? { sentAt, parts: request.promptParts } : undefined;
            crashRegistry.recordBrokenConnection(request, server.id, run);
            if (isSuspect && !request.signal.aborted) {
                serverEndProbe.start(server);
            }
        }
    }
}
