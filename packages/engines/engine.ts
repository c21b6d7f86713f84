import type { Result } from "neverthrow";
import type { DecodeEvent } from "./decode_event.ts";
import type { DecodeRequest } from "./decode_request.ts";
import type { EngineFailure } from "./engine_failure.ts";
import type { EngineOrder } from "./engine_order.ts";
import type { EngineReport } from "./engine_report.ts";
import type { PrefillRequest } from "./prefill_request.ts";
import type { PrefillResult } from "./prefill_result.ts";

/** A model engine. A new engine type implements this interface. */
export interface Engine {
    /** Computes the KV cache of a prompt. */
    prefill(request: PrefillRequest, signal: AbortSignal): Promise<Result<PrefillResult, EngineFailure>>;
    /** Imports a KV cache and streams the answer. The stream throws an {@linkcode EngineFailure} if it breaks. */
    decode(request: DecodeRequest, signal: AbortSignal): Promise<Result<AsyncIterable<DecodeEvent>, EngineFailure>>;
    /** Frees everything that the engine holds for a request, and tells how many tokens it had generated. */
    cancel(request: string): Promise<Result<{ generated: number; }, EngineFailure>>;
    /** Lists what the engine holds. */
    report(): Promise<Result<EngineReport, EngineFailure>>;
    /** Sends an order. */
    order(order: EngineOrder): Promise<Result<void, EngineFailure>>;
    /** Closes kept-open connections. */
    close(): Promise<void>;
}
