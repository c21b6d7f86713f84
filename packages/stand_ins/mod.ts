/** Stand-ins for the external systems, with faults that tests set over HTTP. */
export { computeCompletion } from "./compute_completion.ts";
export { EngineStandIn } from "./engine_stand_in.ts";
export type { EngineStandInOptions } from "./engine_stand_in_options.ts";
export { InstanceListStandIn } from "./instance_list_stand_in.ts";
export { MemoryStore } from "./memory_store.ts";
export { runStandIns } from "./run_stand_ins.ts";
export { ServiceStandIn } from "./service_stand_in.ts";
export type { StandInConfiguration } from "./stand_in_configuration.ts";
export { StandInServer } from "./stand_in_server.ts";
export { StoreStandIn } from "./store_stand_in.ts";
