import type { KeepingBelief } from "./keeping_belief.ts";

/** What an engine is expected not to compute again of a prompt. */
export interface ExpectedSaving {
    belief: KeepingBelief;
    /** Expected number of tokens: those that it would keep, weighted by how often that belief has been true. */
    tokens: number;
}
