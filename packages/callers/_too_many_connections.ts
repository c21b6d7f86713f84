import { Refusal } from "../verdicts/mod.ts";

/** Refusal of a request whose connection is beyond the bound. */
export function tooManyConnections(): Refusal {
    const message = "Callers hold all connections of the instance";
    return new Refusal(503, "too-many-connections", "not-run", message, { retryAfterSeconds: 1 });
}
