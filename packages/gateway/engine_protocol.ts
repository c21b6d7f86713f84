import type { EngineCall } from "./engine_call.ts";
import type { EngineReport } from "./engine_report.ts";
import type { PrefillHandle } from "./prefill_handle.ts";

/** Forms of the calls that control a model engine. */
export interface EngineProtocol {
    /** Value of the stage header for a prefill. */
    readonly prefillStage: string;
    /** Reserves memory for a time in milliseconds. */
    reserve(tokens: number, lifetimeMilliseconds: number): EngineCall;
    /** Reads the answer to a reservation: its id, or undefined. */
    parseReservation(body: string): string | undefined;
    /** Releases a reservation that no request uses. */
    releaseReservation(id: string): EngineCall;
    /** Reads the answer to a prefill. */
    parsePrefill(body: string): PrefillHandle | undefined;
    /** Names the result of a prefill for the engine that is to fetch it. */
    prefillSource(address: string, handle: PrefillHandle): string;
    /** Releases the result of a prefill that no engine fetches. */
    releaseHandle(handle: PrefillHandle): EngineCall;
    /** Asks for an engine's state. */
    report(): EngineCall;
    /** Reads an engine's state. */
    parseReport(body: string): EngineReport | undefined;
    /** Orders an engine to change its stage. */
    changeStage(stage: "prefill" | "decode", holder: string, fence: number, sequence: number): EngineCall;
}
