/**
 * Whether a request may have had an effect at a back end.
 *
 * `"not-run"` needs proof: nothing was written to the back end, or the back end said so.
 */
export type Verdict = "not-run" | "may-have-run";
