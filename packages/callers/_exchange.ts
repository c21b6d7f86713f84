import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "../verdicts/mod.ts";
import type { ExchangeMemory } from "./_exchange_memory.ts";
import type { CallerIdentity } from "./caller_identity.ts";

/** A caller's request and its response. */
export interface Exchange {
    /** Id of the request: the instance's id and a sequence number. */
    id: string;
    /** Who sent it. */
    caller: CallerIdentity;
    /** The request; its body has been read. */
    request: IncomingMessage;
    /** Path with query. */
    path: string;
    /** The whole body. */
    body: Buffer;
    /** Memory that the request and its answer hold. */
    memory: ExchangeMemory;
    /** The response. */
    response: ServerResponse;
    /** Aborts when the caller has disconnected, its API key is revoked or the instance ends the request. */
    signal: AbortSignal;
    /** Ends the request with a refusal. */
    abort: (refusal: Refusal) => void;
}
