import type { GatewayRefusal } from "./gateway_refusal.ts";

/**
 * How one pass ended.
 *
 * `"relayed"`: the engine's error response went to the caller. `"moved"`: another server responds at the engine's
 * address. `"key-refused"`: the key was withdrawn or cannot be confirmed. `"part-blocked"`: a part of the prompt has been
 * found to crash servers. `"withheld"`: the engine leaves or asks for a pause. `"handle-lost"`: the prefill result cannot
 * be fetched. `"broken"`: the stream failed.
 * `isGivenUp`: the router ended the run, since the engine was silent.
 */
export type PassOutcome =
    | { kind: "completed"; }
    | { kind: "relayed"; }
    | { kind: "key-refused" | "part-blocked"; message: string; refusal: GatewayRefusal; }
    | { kind: "not-run" | "moved" | "withheld" | "handle-lost"; message: string; }
    | { kind: "may-have-run" | "broken"; message: string; isGivenUp?: boolean; };
