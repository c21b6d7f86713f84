import { Refusal } from "../verdicts/mod.ts";

/** Refusal of a request over an error of this program. */
export function requestFailed(): Refusal {
    return new Refusal(500, "internal-error", "may-have-run", "The request failed");
}
