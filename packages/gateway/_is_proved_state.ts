import type { RolloutState } from "../rollouts/mod.ts";

/**
 * Whether a stored state tells how far a roll-out has come. One from a copy of an earlier era may have been followed by
 * another, unless it is final: a move by a roll-back, or a trial by the end of the old servers.
 */
export function isProvedState({ phase, era }: RolloutState, storeEra: number): boolean {
    return era === undefined || era === storeEra || phase === "completed" || phase === "rolled-back";
}
