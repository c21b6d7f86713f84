/** Starts fleets of real processes for demos, tests, benchmarks and soak tests. */
export { buildDeclaration } from "./build_declaration.ts";
export type { CallOptions } from "./call_options.ts";
export type { CallResult } from "./call_result.ts";
export { copyProgram } from "./copy_program.ts";
export type { EngineDescription } from "./engine_description.ts";
export { findLargestFile } from "./find_largest_file.ts";
export { Fleet } from "./fleet.ts";
export type { FleetOptions } from "./fleet_options.ts";
export { HeldFile } from "./held_file.ts";
export { holdConnections } from "./hold_connections.ts";
export { ManagedProcess } from "./managed_process.ts";
export { parseCompletion } from "./parse_completion.ts";
export { PartitionProxy } from "./partition_proxy.ts";
export { PortBlock } from "./port_block.ts";
export { RawServer } from "./raw_server.ts";
export { sendRequest } from "./send_request.ts";
export { uncaughtErrorPreload } from "./uncaught_error_preload.ts";
export { unfinishedBodies } from "./unfinished_bodies.ts";
