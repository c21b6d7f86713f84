import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { EngineSpeeds, ReferencePace } from "../speeds/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";

/** Weight of the time to the first event, which also depends on the links between engines. */
const FIRST_EVENT_WEIGHT = 0.5;
/** Number of pauses from which their average says something about the engine. */
const LEAST_PAUSES = 8;

/** Dependencies of {@linkcode RunPace}. */
interface RunPaceOptions {
    request: GatewayRequest;
    reservation: DecodeReservation;
    /** Requests at the engine when the run was sent, this one included. */
    active: number;
    /** Whether the engine fetches the computed prompt and begins the answer, so that its times can be compared. */
    isWhole: boolean;
    engineSpeeds: EngineSpeeds;
    reference: ReferencePace;
}

/**
 * Pace of one run at a decode engine, compared with that of runs at engines with about as many requests: the time to the
 * first event, and the average pause between events.
 *
 * @example
 * ```ts
 * const pace = new RunPace(options);
 * pace.recordEvent();
 * pace.recordOutcome({ kind: "completed" });
 * ```
 */
export class RunPace {
    readonly #sentAt = monotonicMilliseconds();
    #first: { at: number; events: number; } | undefined;

    /**
     * @param options The run, and what it is compared with.
     */
    constructor(private readonly options: RunPaceOptions) {}

    /** Records that an event has arrived. */
    recordEvent(): void {
        this.#first ??= { at: monotonicMilliseconds(), events: this.options.request.exchange.events };
    }

    /**
     * Records how the run ended. Only whole runs are compared.
     *
     * @param outcome The outcome.
     */
    recordOutcome(outcome: PassOutcome): void {
        const { request, active, isWhole } = this.options;
        if (outcome.kind !== "completed" || !this.#first || !isWhole) {
            return;
        }
        const conditions = `${request.service.name} ${bucketOf(active)}`;
        const firstMilliseconds = this.#first.at - this.#sentAt;
        this.#compare(`${conditions} first ${bucketOf(request.promptTokens)}`, firstMilliseconds, FIRST_EVENT_WEIGHT);
        const pauses = request.exchange.events - this.#first.events - 1;
        if (pauses >= LEAST_PAUSES) {
            this.#compare(`${conditions} pause`, (monotonicMilliseconds() - this.#first.at) / pauses, 1);
        }
    }

    #compare(conditions: string, milliseconds: number, weight: number): void {
        const { reference, engineSpeeds, reservation } = this.options;
        const logarithm = milliseconds > 0 ? reference.compare(conditions, milliseconds) : undefined;
        if (logarithm !== undefined) {
            engineSpeeds.record(reservation.server, "decode", logarithm, weight);
        }
    }
}

/** Numbers of the same bucket differ by less than a factor of two. */
function bucketOf(count: number): number {
    return Math.round(Math.log2(Math.max(1, count)));
}
