import type { CallResult } from "../harness/mod.ts";

/** A call as its caller saw it. */
export interface ObservedCall {
    /** Kind of call. */
    kind: "model" | "once-only" | "idempotent";
    /** Label in the prompt, or the `Idempotency-Key`. */
    label: string;
    /** Organisation of the key. */
    organisation: string;
    /** Key that came with the call, if a check needs it. */
    key?: string;
    /** Prompt as the engine gets it; empty for plain routes. */
    prompt: string;
    /** Longest answer in tokens; 0 for plain routes. */
    maximumTokens: number;
    /** Wall-clock time in milliseconds at which the call began. */
    startedAt: number;
    /** Wall-clock time in milliseconds at which the call ended. */
    endedAt: number;
    /** Whether the caller itself ended the call. */
    cancelled: boolean;
    /** What came back. */
    result: CallResult;
}
