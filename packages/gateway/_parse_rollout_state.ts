import { type RolloutState, rolloutStateSchema } from "../rollouts/mod.ts";

/** Parses what the store holds of a roll-out; undefined if it cannot be read. */
export function parseRolloutState(value: string): RolloutState | undefined {
    try {
        return rolloutStateSchema.safeParse(JSON.parse(value)).data;
    }
    catch {
        return undefined;
    }
}
