import { Refusal, type Verdict } from "../verdicts/mod.ts";

/** Refusal of a request that the instance cannot finish, since its drain limit is over. */
export function shuttingDown(verdict: Verdict): Refusal {
    const options = verdict === "not-run" ? { retryAfterSeconds: 1 } : {};
    return new Refusal(503, "shutting-down", verdict, "The instance shut down", options);
}
