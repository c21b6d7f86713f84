import type { RolloutSchedule } from "./rollout_schedule.ts";

/** Time in milliseconds before the deadline at which the roll-out is completed, and as a fraction of its duration. */
const MARGIN_MILLISECONDS = 1_500;
const MARGIN_FRACTION = 0.12;
/** Fraction of the duration that requests at the old version get at most to end. */
const DRAIN_FRACTION = 0.25;
/** Time in milliseconds that a change of the phase takes to reach all instances. */
const SPREAD_MILLISECONDS = 600;
/** Fraction of the time before the move after which the probe begins. */
const PROBE_FRACTION = 0.7;
/** Fraction of the drain time by which the move may be put off while the judgement is open. */
const DELAY_FRACTION = 0.5;

/**
 * Computes when the phases of a roll-out begin. The move comes late, since a version may turn bad late.
 *
 * @param durationMilliseconds Time from the order to its deadline.
 * @param requestMilliseconds Time that a request to the service may take.
 * @returns Times in milliseconds from the order.
 * @example
 * ```ts
 * computeSchedule(12_000, 1_000).completeAt; // 10_560
 * ```
 */
export function computeSchedule(durationMilliseconds: number, requestMilliseconds: number): RolloutSchedule {
    const margin = Math.min(MARGIN_MILLISECONDS, durationMilliseconds * MARGIN_FRACTION);
    const drain = Math.min(requestMilliseconds, durationMilliseconds * DRAIN_FRACTION);
    const completeAt = durationMilliseconds - margin;
    const moveAt = Math.max(durationMilliseconds / 2, completeAt - drain - SPREAD_MILLISECONDS);
    return {
        probeAt: moveAt * PROBE_FRACTION,
        moveAt,
        lastMoveAt: moveAt + drain * DELAY_FRACTION,
        completeAt,
        endAt: durationMilliseconds,
    };
}
