import type { Judgement } from "./judgement.ts";
import type { PhaseChange } from "./phase_change.ts";
import type { RolloutPhase } from "./rollout_phase.ts";
import type { RolloutSchedule } from "./rollout_schedule.ts";

/** Fraction of the old servers' capacity that the new ones must have before every request moves to them. */
const MINIMUM_CAPACITY = 0.5;
/** Outcomes of the old version from which a new one without any is not completed. */
const MANY_OLD_OUTCOMES = 20;

/** What decides the next phase of a roll-out. */
interface RolloutSituation {
    /** Undefined before the roll-out has begun. */
    phase: RolloutPhase | undefined;
    /** Time in milliseconds since the order, and since the phase began. */
    elapsed: number;
    inPhase: number;
    schedule: RolloutSchedule;
    judgement: Judgement;
    /** Whether the operator has withdrawn the order. */
    isWithdrawn: boolean;
    /** Requests that the usable servers of the versions run concurrently. */
    newCapacity: number;
    oldCapacity: number;
}

/**
 * Decides the next phase of a roll-out. A phase is never skipped towards completion, so that each is known to all
 * instances for its time; every phase that is not final can be rolled back.
 *
 * @param situation The present phase and what is known.
 * @returns The next phase and the reason; undefined if the present one lasts.
 * @example
 * ```ts
 * nextPhase({ ...situation, phase: "trial", judgement }); // { phase: "rolled-back", reason: "judged bad" }
 * ```
 */
export function nextPhase(situation: RolloutSituation): PhaseChange | undefined {
    const { phase, elapsed, schedule, judgement, isWithdrawn } = situation;
    if (phase === "completed" || phase === "rolled-back") {
        return undefined;
    }
    if (isWithdrawn) {
        return { phase: "rolled-back", reason: "order withdrawn" };
    }
    if (judgement.verdict === "bad") {
        return { phase: "rolled-back", reason: "judged bad" };
    }
    switch (phase) {
        case undefined:
            return { phase: "trial", reason: "ordered" };
        case "trial":
            return elapsed >= schedule.moveAt ? decideMove(situation) : elapsed >= schedule.probeAt
                ? { phase: "probe", reason: "no evidence in the trial" }
                : undefined;
        case "probe":
            return elapsed >= schedule.moveAt ? decideMove(situation) : undefined;
        case "move": {
            // A move that began late still leaves the old version time to end what it runs.
            const drained = situation.inPhase >= schedule.completeAt - schedule.lastMoveAt;
            return elapsed >= schedule.completeAt && drained || elapsed >= schedule.endAt
                ? { phase: "completed", reason: "every request moved" }
                : undefined;
        }
    }
}

function decideMove(situation: RolloutSituation): PhaseChange | undefined {
    const { elapsed, schedule, judgement, newCapacity, oldCapacity } = situation;
    const isUnproven = judgement.outcomes === 0 && judgement.oldOutcomes >= MANY_OLD_OUTCOMES;
    const hasCapacity = newCapacity > 0 && newCapacity >= oldCapacity * MINIMUM_CAPACITY;
    if (elapsed >= schedule.endAt) {
        return { phase: "rolled-back", reason: "not moved by the deadline" };
    }
    if (judgement.verdict === "good" && hasCapacity && !isUnproven) {
        return { phase: "move", reason: "judged good" };
    }
    if (elapsed < schedule.lastMoveAt) {
        return undefined;
    }
    const reason = judgement.verdict !== "good" ? "in doubt" : isUnproven ? "no answers" : "too few servers";
    return { phase: "rolled-back", reason };
}
