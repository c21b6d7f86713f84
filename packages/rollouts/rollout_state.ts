import type * as z from "zod";
import type { rolloutStateSchema } from "./rollout_state_schema.ts";

/** What the store keeps of a roll-out: what another instance needs to go on with it. */
export type RolloutState = z.infer<typeof rolloutStateSchema>;
