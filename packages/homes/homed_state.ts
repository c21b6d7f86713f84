import type { ConfigurationDocument } from "../configuration/mod.ts";
import type { HomeKey } from "../membership/mod.ts";

/** A kind of state whose pieces each have one home. */
export interface HomedState {
    /** Lists the keys that exist under a configuration. */
    keys(document: ConfigurationDocument): HomeKey[];
    /** Begins to act as home of a key; `handover` is what the former home returned, if it could. */
    activate(key: HomeKey, handover: unknown): void;
    /** Stops acting as home of a key at once and returns what the next home needs. */
    deactivate(key: HomeKey): unknown;
}
