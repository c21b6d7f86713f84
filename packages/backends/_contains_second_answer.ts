import type { BackendResponse } from "./backend_response.ts";

const VERSION = "HTTP/1.";
/** Bytes of the version that may stand at the end of a piece without being found there. */
const VERSION_OVERLAP = VERSION.length - 1;
/** Beginning of a response, as far as its bytes have arrived. */
const STATUS_LINE = /^HTTP\/1\.($|[01]($| ($|\d)))/;
const STATUS_LINE_BYTES = 10;

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
    for (let at = bytes.indexOf(VERSION); at !== -1 && at < body.length; at = bytes.indexOf(VERSION, at + 1)) {
        const isStatusLine = STATUS_LINE.test(bytes.toString("latin1", at, at + STATUS_LINE_BYTES));
        // Without bytes after the body, only the id of the request tells another response from a text about one.
        if (isStatusLine && (trailing.length > 0 || echoesRequest(response, bytes.subarray(at)))) {
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

function echoesRequest({ correlation }: BackendResponse, bytes: Buffer): boolean {
    return correlation?.value !== undefined && bytes.includes(correlation.value);
}
