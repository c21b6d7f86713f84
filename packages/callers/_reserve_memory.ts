import type { IncomingMessage } from "node:http";
import type { PipeliningLimit } from "../pipelining/mod.ts";
import { bodyCopies } from "./_body_copies.ts";
import { ExchangeMemory } from "./_exchange_memory.ts";
import { maximumBodyBytes } from "./_maximum_body_bytes.ts";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Reserves memory for a request before its body is read; undefined if there is no room. */
export function reserveMemory(
    request: IncomingMessage,
    options: Pick<CallerServerOptions, "memory" | "settings">,
    pipeliningLimit: PipeliningLimit,
): ExchangeMemory | undefined {
    // A longer body is refused by its length, so it takes no memory.
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    const bodyBytes = declaredBytes > maximumBodyBytes(request, options) ? 0 : declaredBytes * bodyCopies(request);
    const bytes = ExchangeMemory.overheadBytes(request) + bodyBytes;
    return ExchangeMemory.tryCreate(options.memory, bytes, pipeliningLimit.takeHeadMemory(request.socket));
}
