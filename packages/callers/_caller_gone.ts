import { Refusal } from "../verdicts/mod.ts";

/** Refusal of a request whose caller has left. */
export function callerGone(verdict: Refusal["verdict"]): Refusal {
    return new Refusal(499, "caller-gone", verdict, "The caller is gone");
}
