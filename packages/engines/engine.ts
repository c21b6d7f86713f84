import type { Result } from "neverthrow";
import type { DecodeEvent } from "./decode_event.ts";
import type { DecodeRequest } from "./decode_request.ts";
import type { EngineFailure } from "./engine_failure.ts";
import type { EngineOrder } from "./engine_order.ts";
import type { EngineReport } from "./engine_report.ts";
import type { PrefillRequest } from "./prefill_request.ts";
import type { PrefillResult } from "./prefill_result.ts";

/** Client of a model engine. Each type of engine has an implementation. */
export interface Engine {
    /** Computes the KV cache of a prompt. */
    prefill(request: PrefillRequest, signal: AbortSignal): Promise<Result<PrefillResult, EngineFailure>>;
    /** Imports a KV cache and streams the completion. The stream throws an {@linkcode EngineFailure} if it breaks. */
    decode(request: DecodeRequest, signal: AbortSignal): Promise<Result<AsyncIterable<DecodeEvent>, EngineFailure>>;
    /** Cancels a request, frees all that the engine holds for it and returns the number of tokens generated. */
    cancel(request: string): Promise<Result<{ generated: number; }, EngineFailure>>;
    /** Lists the requests that the engine holds in memory. */
    report(): Promise<Result<EngineReport, EngineFailure>>;
    /** Orders the engine to change what it serves. */
    order(order: EngineOrder): Promise<Result<void, EngineFailure>>;
    /** Closes the persistent connections. */
    close(): Promise<void>;
}
