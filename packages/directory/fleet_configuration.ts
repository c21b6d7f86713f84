import type { CallerLimits } from "./caller_limits.ts";
import type { OrganisationProfile } from "./organisation_profile.ts";
import type { ServiceProfile } from "./service_profile.ts";
import type { TrafficRoute } from "./traffic_route.ts";

/** One version of what the operators declare, complete. */
export interface FleetConfiguration {
    version: number;
    routes: TrafficRoute[];
    services: ServiceProfile[];
    /** Undefined when callers need no keys. */
    organisations: OrganisationProfile[] | undefined;
    limits: CallerLimits;
}
