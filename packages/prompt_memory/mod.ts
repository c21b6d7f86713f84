/** What engines are expected to keep of prompts, and what that saves. */
export type { ExpectedSaving } from "./expected_saving.ts";
export type { KeepingBelief } from "./keeping_belief.ts";
export { PromptMemory } from "./prompt_memory.ts";
