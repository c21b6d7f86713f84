import type { ConfigurationDocument } from "../configuration/mod.ts";
import type { HomeKey } from "../membership/mod.ts";

/** A kind of state that is split by key; each key has one home. */
export interface HomedState {
    /** Lists the keys that exist in a configuration. */
    keys(document: ConfigurationDocument): HomeKey[];
    /**
     * Starts to act as the home of a key. `handover` is what the former home returned from `deactivate`, or undefined.
     * May be called again for an active key if the handover arrives late.
     */
    activate(key: HomeKey, handover: unknown): void;
    /** Stops acting as the home of a key immediately and returns the handover for the next home. */
    deactivate(key: HomeKey): unknown;
}
