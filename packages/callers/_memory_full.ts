import { Refusal } from "../verdicts/mod.ts";

/** Refusal of a request for which the process has no memory. */
export function memoryFull(): Refusal {
    const message = "The instance has no memory for another request";
    return new Refusal(503, "memory-full", "not-run", message, { retryAfterSeconds: 1 });
}
