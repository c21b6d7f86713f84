import type { RegisteredServer } from "../directory/mod.ts";
import type { ExpectedSaving } from "../prompt_memory/mod.ts";

/** A prefill engine that was chosen for a prompt. */
export interface PrefillChoice {
    server: RegisteredServer;
    /** Prompt tokens of unfinished prefills that were counted at the engine. */
    queuedTokens: number;
    /** What the engine is expected to keep of the prompt. */
    saving: ExpectedSaving;
    /** Engine that is expected to keep more, and why it was not chosen; undefined if there is none. */
    passedOver: { engine: string; reason: "failing" | "slow" | "queue" | "transfer"; } | undefined;
}
