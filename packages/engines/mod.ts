/** Clients of model engines. */
export type { DecodeEvent } from "./decode_event.ts";
export type { DecodeRequest } from "./decode_request.ts";
export type { Engine } from "./engine.ts";
export { EngineFailure } from "./engine_failure.ts";
export type { EngineOrder } from "./engine_order.ts";
export { EnginePool } from "./engine_pool.ts";
export type { EngineReport } from "./engine_report.ts";
export { HttpEngine } from "./http_engine.ts";
export type { PrefillRequest } from "./prefill_request.ts";
export type { PrefillResult } from "./prefill_result.ts";
