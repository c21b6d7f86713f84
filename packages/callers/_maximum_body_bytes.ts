import type { IncomingMessage } from "node:http";
import { bodyCopies } from "./_body_copies.ts";
import { ExchangeMemory } from "./_exchange_memory.ts";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Largest body of a request that the settings allow and the memory for requests holds. */
export function maximumBodyBytes(
    request: IncomingMessage,
    { memory, settings }: Pick<CallerServerOptions, "memory" | "settings">,
): number {
    const room = memory.limit("request") - ExchangeMemory.overheadBytes(request);
    return Math.min(settings.callers.maximumBodyBytes, Math.floor(room / bodyCopies(request)));
}
