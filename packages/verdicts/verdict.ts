/**
 * Whether a request may have had an effect at a backend server.
 *
 * `"not-run"` requires proof: nothing was written to the backend server, or the backend server stated it.
 */
export type Verdict = "not-run" | "may-have-run";
