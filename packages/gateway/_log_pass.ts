import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";

/** A pass of a request through prefill and decode that has ended. */
interface EndedPass {
    request: GatewayRequest;
    /** Number of the pass, from 1. */
    pass: number;
    /** The decode engine as it was registered when its memory was reserved. */
    engine: RegisteredServer;
    outcome: PassOutcome;
    progress: PassProgress;
}

/** Logs how a pass has ended, and at which process of an engine. */
export function logPass(
    { request, pass, engine, outcome, progress }: EndedPass,
    { logger, directoryUpdater }: Pick<GatewayContext, "logger" | "directoryUpdater">,
): void {
    logger.info("generation pass ended", {
        request: request.id,
        pass,
        engine: engine.id,
        engineVersion: engine.softwareVersion,
        engineStart: engine.startedAt,
        outcome: outcome.kind,
        cause: "message" in outcome ? outcome.message : undefined,
        lastEvent: progress.lastEventId,
        afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
        ...directoryUpdater.logFields(),
    });
}
