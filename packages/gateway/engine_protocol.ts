import type { EngineCall } from "./engine_call.ts";
import type { EngineReport } from "./engine_report.ts";
import type { PrefillHandle } from "./prefill_handle.ts";
import type { PromptHistory } from "./prompt_history.ts";

/** Formats of the calls that control a model engine. */
export interface EngineProtocol {
    /** Value of the stage header for a prefill. */
    readonly prefillStage: string;
    /** Reserves memory, in tokens, for a time in milliseconds. */
    reserve(tokens: number, lifetimeMilliseconds: number): EngineCall;
    /** Parses the response to a reservation; returns the id of the reservation, or undefined. */
    parseReservation(body: string): string | undefined;
    /** Releases a reservation that no request will use. */
    releaseReservation(id: string): EngineCall;
    /** Parses the response to a prefill. */
    parsePrefill(body: string): PrefillHandle | undefined;
    /** Formats the header value that tells a decode engine where to fetch a prefill result. */
    prefillSource(address: string, handle: PrefillHandle): string;
    /** Releases a prefill result that no engine will fetch. */
    releaseHandle(handle: PrefillHandle): EngineCall;
    /** Requests an engine's state. */
    report(): EngineCall;
    /** Parses an engine's state. */
    parseReport(body: string): EngineReport | undefined;
    /** Requests what an engine has read of prompts since its start. */
    promptHistory(): EngineCall;
    /** Parses what an engine has read of prompts; returns undefined if the response has another form. */
    parsePromptHistory(body: string): PromptHistory | undefined;
    /** Orders an engine to change its stage; `sequence` is the number of orders that it has accepted before. */
    changeStage(stage: "prefill" | "decode", holder: string, fence: number, sequence: number): EngineCall;
}
