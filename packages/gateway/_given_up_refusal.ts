import type { GatewayRefusal } from "./gateway_refusal.ts";

/** Creates the refusal of a request that was given up before it was sent; `signal` aborts with the reason. */
export function givenUpRefusal(signal: AbortSignal | undefined): GatewayRefusal {
    return {
        status: 503,
        reason: signal?.reason === "shutting-down" ? "leaving" : "deadline-passed",
        verdict: "not-run",
        message: "The request was given up before it was sent to a server",
    };
}
