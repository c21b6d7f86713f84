import type { ConfigurationState } from "../configuration/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { OnceClient } from "../once/mod.ts";

/** Dependencies of {@linkcode ServiceHandler}. */
export interface ServiceHandlerOptions {
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Reports whether the instance that owns a record has terminated. */
    membership: Membership;
    /** Records once-only calls. */
    once: OnceClient;
    /** Receives counts of retries. */
    metrics: Metrics;
    /** Checks that a once-only call is sent only after its intent record is stored. */
    invariants: Invariants;
    /** Receives outcomes that an operator may have to look at. */
    logger: Logger;
}
