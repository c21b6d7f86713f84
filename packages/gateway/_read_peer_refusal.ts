import { type BackendResponse, readResponsePieces } from "../backends/mod.ts";
import type { BodyMemory } from "../backends/mod.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

/** Largest body in bytes of a refusal by an instance. */
const MAXIMUM_REFUSAL_BYTES = 4_096;
const UNAVAILABLE_STATUS = 503;

/** What was read of a peer's answer: the whole body and the reason that it names; "broken" if the body broke off. */
type PeerRefusal = { kind: "refusal"; reason: unknown; body: readonly Buffer[]; } | { kind: "broken"; };

/**
 * Reads the peer's own refusal of a request. Returns undefined, without reading anything, if the answer is that of a
 * server or another one than 503.
 */
export async function readPeerRefusal(
    response: BackendResponse,
    timeoutMilliseconds: number,
    memory: BodyMemory,
    headers: ProtocolHeaders,
): Promise<PeerRefusal | undefined> {
    const isRefusal = response.status === UNAVAILABLE_STATUS && response.framing === "length"
        && response.headers[headers.signature] === undefined
        && Number(response.headers["content-length"]) <= MAXIMUM_REFUSAL_BYTES;
    if (!isRefusal) {
        return undefined;
    }
    const body = await readResponsePieces(response, timeoutMilliseconds, MAXIMUM_REFUSAL_BYTES, memory);
    return body ? { kind: "refusal", reason: parseReason(Buffer.concat(body)), body } : { kind: "broken" };
}

function parseReason(body: Buffer): unknown {
    try {
        return (JSON.parse(body.toString("utf8")) as { error?: { type?: unknown; }; }).error?.type;
    }
    catch {
        return undefined;
    }
}
