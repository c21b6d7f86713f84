import type { BackendResponse } from "./backend_response.ts";

const VERSION = "HTTP/1.";
/** Bytes of the version that may stand at the end of a piece without being found there. */
const VERSION_OVERLAP = VERSION.length - 1;
const ZERO = 0x30;
const ONE = 0x31;
const NINE = 0x39;
const SPACE = 0x20;

/**
 * Returns whether another response of the server begins inside a body. A server that breaks off a response and sends it
 * again on the same connection fills up the length of the first one with the beginning of the second.
 *
 * @param response The response.
 * @param pieces Its body.
 * @returns Whether one begins.
 */
export function containsSecondAnswer(response: BackendResponse, pieces: readonly Buffer[]): boolean {
    const trailing = response.trailing();
    // A long body is joined, and so held twice, only where that can show anything.
    if (!includesVersion([...pieces, trailing])) {
        return false;
    }
    const body = Buffer.concat(pieces);
    const bytes = trailing.length === 0 ? body : Buffer.concat([body, trailing]);
    // Without bytes after the body, only the id of the request tells another response from a text about one.
    const lastBegin = trailing.length > 0 ? body.length - 1 : findLastId(response, body);
    for (let at = bytes.indexOf(VERSION); at !== -1 && at <= lastBegin; at = bytes.indexOf(VERSION, at + 1)) {
        if (beginsStatusLine(bytes, at)) {
            return true;
        }
    }
    return false;
}

/** Returns whether the version that begins a response stands in a body, also across the ends of its pieces. */
function includesVersion(pieces: readonly Buffer[]): boolean {
    let last: Buffer = Buffer.alloc(0);
    return pieces.some(piece => {
        const seam = Buffer.concat([last, piece.subarray(0, VERSION_OVERLAP)]);
        last = piece.length < VERSION_OVERLAP ? seam.subarray(-VERSION_OVERLAP) : piece.subarray(-VERSION_OVERLAP);
        return seam.includes(VERSION) || piece.includes(VERSION);
    });
}

/** Returns whether a status line begins at a version, as far as its bytes have arrived. */
function beginsStatusLine(bytes: Buffer, at: number): boolean {
    const minor = at + VERSION.length;
    const [version = ZERO, space = SPACE, digit = ZERO] = [bytes[minor], bytes[minor + 1], bytes[minor + 2]];
    return (version === ZERO || version === ONE) && space === SPACE && digit >= ZERO && digit <= NINE;
}

/** Finds the last place at which a body names the request; -1 if there is none. */
function findLastId({ correlation }: BackendResponse, body: Buffer): number {
    return correlation?.value === undefined ? -1 : body.lastIndexOf(correlation.value);
}
