import type { IncomingMessage } from "node:http";
import { watchSlowBody } from "../memory/mod.ts";
import { BodyBuffer } from "./body_buffer.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RequestMemory } from "./request_memory.ts";

/** The body of a request, or why it was not read. */
type RequestBody = { kind: "read"; bytes: Buffer; } | { kind: "too-large" | "memory-full" | "broken" | "given-up"; };

/**
 * Reads the body of a caller's request.
 *
 * @param incoming The request.
 * @param maximumBytes Largest accepted body.
 * @param memory Memory of the request, which a body without a declared length lets grow.
 * @param exchange Record of the request, in which the bytes read are counted.
 * @param signal Aborts when the request is given up.
 * @returns The body, or why it was not read.
 * @example
 * ```ts
 * const body = await readRequestBody(incoming, 1_048_576, memory, exchange, signal);
 * ```
 */
export function readRequestBody(
    incoming: IncomingMessage,
    maximumBytes: number,
    memory: RequestMemory,
    exchange: CallerExchange,
    signal: AbortSignal,
): Promise<RequestBody> {
    const declared = incoming.headers["content-length"];
    const declaredBytes = declared === undefined ? undefined : Number(declared);
    if (declaredBytes !== undefined && declaredBytes > maximumBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    return new Promise(resolve => {
        const body = new BodyBuffer(memory, maximumBytes, declaredBytes);
        let isRefused = false;
        const refuse = (kind: "too-large" | "memory-full") => {
            isRefused = true;
            body.clear();
            // The rest of the body is discarded, which may take as long as the caller likes.
            memory.close();
            finish({ kind });
        };
        const endWatch = watchSlowBody(() => memory.leavesRoom, () => refuse("memory-full"));
        const finish = (result: RequestBody) => {
            endWatch();
            resolve(result);
        };
        incoming.on("data", (chunk: Buffer) => {
            exchange.bodyBytes += chunk.length;
            if (isRefused) {
                return;
            }
            if (exchange.bodyBytes > maximumBytes) {
                refuse("too-large");
            }
            else if (!body.tryAppend(chunk)) {
                refuse("memory-full");
            }
        });
        incoming.on("end", () => finish({ kind: "read", bytes: body.bytes }));
        signal.addEventListener("abort", () => finish({ kind: "given-up" }), { once: true });
        incoming.on("close", () => finish({ kind: "broken" }));
        incoming.on("error", () => finish({ kind: "broken" }));
    });
}
