/** Routes, services, organisations, backend servers and drained failure domains as an instance knows them. */
export type { CallerLimits } from "./caller_limits.ts";
export { Directory } from "./directory.ts";
export type { DirectoryEvent } from "./directory_event.ts";
export type { EngineProfile } from "./engine_profile.ts";
export type { EngineStage } from "./engine_stage.ts";
export type { FleetConfiguration } from "./fleet_configuration.ts";
export type { OrganisationProfile } from "./organisation_profile.ts";
export type { RegisteredServer } from "./registered_server.ts";
export { RemovalDelay } from "./removal_delay.ts";
export type { RolloutOrder } from "./rollout_order.ts";
export type { ServiceProfile } from "./service_profile.ts";
export type { TrafficRoute } from "./traffic_route.ts";
export type { WeightedService } from "./weighted_service.ts";
