import type { ConfigurationState } from "../configuration/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { OnceClient } from "../once/mod.ts";

/** What {@linkcode PlainHandler} works with. */
export interface ServiceHandlerOptions {
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Says whether the owner of a record is gone. */
    membership: Membership;
    /** Records once-only calls. */
    once: OnceClient;
    /** Receives counts of retries. */
    metrics: Metrics;
    /** Checks that a once-only call is sent only after its intent is recorded. */
    invariants: Invariants;
    /** Receives outcomes that operators may have to look at. */
    logger: Logger;
}
