import type { ConfigurationState } from "../configuration/mod.ts";
import type { EnginePool } from "../engines/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { OrganisationLimiter } from "../limits/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { PlacementPolicy } from "../placement/mod.ts";
import type { ReservationClient } from "../reservations/mod.ts";
import type { SuspectRegistry } from "../suspects/mod.ts";

/** Dependencies of {@linkcode ModelRouter}. */
export interface ModelRouterOptions {
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Charges the limits of organisations. */
    limiter: OrganisationLimiter;
    /** Reserves capacity of backend servers. */
    reservations: ReservationClient;
    /** Clients of the engines. */
    engines: EnginePool;
    /** Registry of requests that are suspected of crashing servers. */
    suspects: SuspectRegistry;
    /** Orders the candidate servers. */
    policy: PlacementPolicy;
    /** Failure domain of this instance. */
    failureDomain: string;
    /** Counts retries and wasted prefills. */
    metrics: Metrics;
    /** Checks that each stream event belongs to its request. */
    invariants: Invariants;
}
