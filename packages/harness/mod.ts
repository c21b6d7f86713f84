/** Starts fleets of real processes for demos, tests, benches and soaks. */
export { answerOf } from "./answer_of.ts";
export { callFleet } from "./call_fleet.ts";
export type { CallOptions } from "./call_options.ts";
export type { CallResult } from "./call_result.ts";
export type { EngineDescription } from "./engine_description.ts";
export { exampleDeclaration } from "./example_declaration.ts";
export { Fleet } from "./fleet.ts";
export type { FleetOptions } from "./fleet_options.ts";
export { ManagedProcess } from "./managed_process.ts";
export { PartitionRelay } from "./partition_relay.ts";
export { PortBlock } from "./port_block.ts";
