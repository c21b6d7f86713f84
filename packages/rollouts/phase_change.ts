import type { RolloutPhase } from "./rollout_phase.ts";

/** A phase that a roll-out enters, and why. */
export interface PhaseChange {
    phase: RolloutPhase;
    reason: string;
}
