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
 * @param request The request, whose answer has not begun, or is a stream that goes on with this one.
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
            response.writeHead(answer.status, splitter ? withoutLength(answer) : withLength(answer));
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
            if (!splitter) {
                pauseIf(!response.write(chunk));
                return;
            }
            const events = splitter.push(chunk);
            for (const { id, bytes } of events) {
                if (id === undefined || (exchange.lastEventId !== undefined && id !== exchange.lastEventId + 1)) {
                    finish(false);
                    return;
                }
                begin();
                pauseIf(!response.write(bytes));
                exchange.events++;
                exchange.lastEventId = id;
            }
            if (splitter.isTooLarge) {
                finish(false);
            }
        });
        const pauseIf = (isFull: boolean) => {
            if (isFull && !answer.body.isPaused()) {
                answer.body.pause();
                response.once("drain", () => answer.body.resume());
            }
        };
        answer.body.on("end", () => {
            const isWhole = isResponseComplete(answer) && answer.framing !== "connection";
            finish(isWhole && (splitter?.pendingBytes ?? 0) === 0);
        });
        // What has arrived and was not read yet is lost if the connection closes before the end.
        answer.body.on("close", () => finish(false));
    });
}

/** Headers of a stream, which may go on with another answer. */
function withoutLength({ rawHeaders }: BackendResponse): string[] {
    return filterRawHeaders(rawHeaders, NO_HEADERS);
}

function withLength(answer: BackendResponse): string[] {
    const length = answer.headers["content-length"];
    return length === undefined ? withoutLength(answer) : [...withoutLength(answer), "Content-Length", length];
}
