import { type BackendResponse, isResponseComplete } from "../backends/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { GatewayRequest } from "./gateway_request.ts";

const NO_HEADERS: ReadonlySet<string> = new Set();
const OK_STATUS = 200;

/**
 * Relays the answer of another instance to a caller as it comes, no faster than the caller takes it. Of a stream of
 * events, only whole ones are relayed.
 *
 * @param request The request, whose answer has not begun.
 * @param answer The answer, of which the headers have arrived.
 * @param body The body if it has been read already.
 * @returns Whether the answer was complete; if not, it has been left open where it broke off.
 * @example
 * ```ts
 * const isComplete = await relayAnswer(request, answer);
 * ```
 */
export function relayAnswer(
    request: GatewayRequest,
    answer: BackendResponse,
    body?: readonly Buffer[],
): Promise<boolean> {
    const { response, exchange } = request;
    const splitter = request.service.engine && answer.status === OK_STATUS ? new EventSplitter() : undefined;
    const begin = () => {
        if (!response.headersSent && !response.destroyed) {
            response.writeHead(answer.status, headersOf(answer));
        }
    };
    if (body) {
        begin();
        body.forEach(piece => response.write(piece));
        response.end();
        return Promise.resolve(true);
    }
    if (!splitter) {
        begin();
        response.flushHeaders();
    }
    return new Promise(resolve => {
        let isFinished = false;
        const finish = (isComplete: boolean) => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            response.off("close", leave);
            if (isComplete) {
                begin();
                response.end();
            }
            else {
                answer.close();
            }
            resolve(isComplete);
        };
        const leave = () => finish(false);
        response.once("close", leave);
        answer.body.on("data", (chunk: Buffer) => {
            if (isFinished) {
                return;
            }
            const pieces = splitter ? splitter.push(chunk).map(({ bytes }) => bytes) : [chunk];
            if (splitter?.isTooLarge) {
                finish(false);
                return;
            }
            let mayGoOn = true;
            for (const piece of pieces) {
                begin();
                mayGoOn = response.write(piece);
                exchange.events += splitter ? 1 : 0;
            }
            if (!mayGoOn) {
                answer.body.pause();
                response.once("drain", () => answer.body.resume());
            }
        });
        answer.body.on("end", () => {
            const isWhole = isResponseComplete(answer) && answer.framing !== "connection";
            finish(isWhole && (splitter?.pendingBytes ?? 0) === 0);
        });
        // What has arrived and was not read yet is lost if the connection closes before the end.
        answer.body.on("close", () => finish(false));
    });
}

function headersOf(answer: BackendResponse): string[] {
    const headers = filterRawHeaders(answer.rawHeaders, NO_HEADERS);
    const length = answer.headers["content-length"];
    return length === undefined ? headers : [...headers, "Content-Length", length];
}
