import type { RolloutPhase } from "./rollout_phase.ts";

const RANKS: Record<RolloutPhase, number> = { trial: 1, probe: 2, move: 3, completed: 4, "rolled-back": 4 };

/**
 * Orders the phases by progress.
 *
 * @param phase The phase; undefined before the roll-out has begun.
 * @returns A number that grows from phase to phase, and is the same for the final ones.
 * @example
 * ```ts
 * phaseRank("move") > phaseRank("trial"); // true
 * ```
 */
export function phaseRank(phase: RolloutPhase | undefined): number {
    return phase === undefined ? 0 : RANKS[phase];
}
