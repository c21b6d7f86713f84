import type { ClientRequest, IncomingMessage } from "node:http";
import { connectionOf } from "./_connection_of.ts";
import { findBodyFraming } from "./_find_body_framing.ts";
import { RESET_WAIT_MILLISECONDS } from "./_reset_wait_milliseconds.ts";
import { ResponseBytes } from "./_response_bytes.ts";
import { watchForReset } from "./_watch_for_reset.ts";
import type { BackendRequest } from "./backend_request.ts";
import type { BackendResponse } from "./backend_response.ts";

/** Statuses of final answers (RFC 9110, section 15). */
const LEAST_FINAL_STATUS = 200;
const LARGEST_STATUS = 599;
/** Interim responses to one request, beyond which the final one is not waited for. */
const MAXIMUM_INTERIM_RESPONSES = 100;

/**
 * Waits for the response to a request that has just been started, and watches what else arrives on its connection.
 *
 * @param outgoing The request; nothing of its response has arrived.
 * @param correlation Header and value with which the server names the request, if it does.
 * @param listener Called with the response once its headers have arrived.
 * @param refuse Called in its place with the reason if what arrives is no answer; it has to close the connection.
 * @example
 * ```ts
 * const outgoing = request("http://127.0.0.1:80/");
 * onBackendResponse(outgoing, undefined, response => console.log(response.status), () => outgoing.destroy());
 * outgoing.end();
 * ```
 */
export function onBackendResponse(
    outgoing: ClientRequest,
    correlation: BackendRequest["correlation"],
    listener: (response: BackendResponse) => void,
    refuse: (reason: string) => void,
): void {
    // Node drops headers beyond a number, also those that tell what ends the body. Their bytes are bounded all the same.
    outgoing.maxHeadersCount = 0;
    const bytes = new ResponseBytes(outgoing);
    let interimResponses = 0;
    outgoing.on("information", () => {
        if (++interimResponses === MAXIMUM_INTERIM_RESPONSES) {
            refuse(`The server sent ${MAXIMUM_INTERIM_RESPONSES} interim responses and no answer`);
        }
    });
    outgoing.on("response", response => {
        const { statusCode = 0 } = response;
        const backendResponse = toBackendResponse(response, outgoing, correlation, bytes);
        if (statusCode < LEAST_FINAL_STATUS || statusCode > LARGEST_STATUS) {
            refuse(`The server answered with status ${statusCode}, which is none of HTTP`);
        }
        else {
            listener(backendResponse);
        }
    });
}

function toBackendResponse(
    response: IncomingMessage,
    outgoing: ClientRequest,
    correlation: BackendRequest["correlation"],
    bytes: ResponseBytes,
): BackendResponse {
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(response.headers)) {
        headers[name] = Array.isArray(value) ? value.join(", ") : value ?? "";
    }
    // The "aborted" and "close" events report an incomplete body. An "error" event without a listener would end the
    // process.
    response.on("error", () => {});
    response.prependListener("end", () => {
        // What follows on the connection is no response to a later request.
        if (bytes.trailing().length > 0) {
            response.socket.destroy();
        }
    });
    const framing = findBodyFraming(response, outgoing.method);
    return {
        status: response.statusCode ?? 0,
        headers,
        rawHeaders: response.rawHeaders,
        body: response,
        connection: connectionOf(response.socket),
        framing,
        endWaitMilliseconds: framing === "connection" ? RESET_WAIT_MILLISECONDS : 0,
        wasReset: framing === "connection" ? watchForReset(response, outgoing) : () => false,
        onInputEnd: inputEndListener => response.socket.once("end", inputEndListener),
        correlation,
        trailing: () => bytes.trailing(),
        close: () => outgoing.destroy(),
    };
}
