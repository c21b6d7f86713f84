import type { ConfigurationState } from "../configuration/mod.ts";
import type { EnginePool } from "../engines/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { OrganisationLimiter } from "../limits/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { PlacementPolicy } from "../placement/mod.ts";
import type { ReservationClient } from "../reservations/mod.ts";
import type { SuspectRegistry } from "../suspects/mod.ts";

/** What {@linkcode ModelRouter} works with. */
export interface ModelRouterOptions {
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Charges organisations. */
    limiter: OrganisationLimiter;
    /** Reserves capacity. */
    reservations: ReservationClient;
    /** Clients of the engines. */
    engines: EnginePool;
    /** Knows requests that may crash servers. */
    suspects: SuspectRegistry;
    /** Orders the servers. */
    policy: PlacementPolicy;
    /** Failure domain of this instance. */
    failureDomain: string;
    /** Receives counts of retries and wasted prefills. */
    metrics: Metrics;
    /** Checks that events belong to their request. */
    invariants: Invariants;
}
