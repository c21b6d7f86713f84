import type { CallResult } from "../harness/mod.ts";

/** A call as its caller saw it. */
export interface ObservedCall {
    /** Kind of call. */
    kind: "model" | "once-only" | "idempotent";
    /** Label in the prompt, or the `Idempotency-Key`. */
    label: string;
    /** Organisation that the API key belongs to. */
    organisation: string;
    /** API key of the call, if a check needs it. */
    key?: string;
    /** Prompt as the engine receives it; empty for plain services. */
    prompt: string;
    /** Maximum length of the completion in tokens; 0 for plain services. */
    maximumTokens: number;
    /** Wall-clock time in milliseconds at which the call began. */
    startedAt: number;
    /** Wall-clock time in milliseconds at which the call ended. */
    endedAt: number;
    /** Whether the caller itself was set to abort the call. */
    cancelled: boolean;
    /** Result that the caller saw. */
    result: CallResult;
}
