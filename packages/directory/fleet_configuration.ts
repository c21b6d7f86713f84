import type { CallerLimits } from "./caller_limits.ts";
import type { OrganisationProfile } from "./organisation_profile.ts";
import type { ServiceProfile } from "./service_profile.ts";
import type { TrafficRoute } from "./traffic_route.ts";

/** One complete version of the configuration that operators declare. */
export interface FleetConfiguration {
    version: number;
    routes: TrafficRoute[];
    services: ServiceProfile[];
    /** Undefined if callers need no API keys. */
    organisations: OrganisationProfile[] | undefined;
    limits: CallerLimits;
}
