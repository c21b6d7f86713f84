import type { Server } from "node:http";
import { PipeliningLimit } from "../pipelining/mod.ts";
import { ExchangeMemory } from "./_exchange_memory.ts";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Requests of one connection that may be without a complete response; 1 while there is no memory for another one. */
const MAXIMUM_UNANSWERED_REQUESTS = 16;

/** Bounds the requests of each connection of a server, and the memory of its input. */
export function createPipeliningLimit(
    server: Server,
    { memory, metrics }: Pick<CallerServerOptions, "memory" | "metrics">,
): PipeliningLimit {
    return new PipeliningLimit(server, {
        maximumUnansweredRequests: MAXIMUM_UNANSWERED_REQUESTS,
        memory,
        mayBeginAnother: () => ExchangeMemory.hasRoom(memory),
        onLimit: () => metrics.increment("connections_held_total"),
        onDiscard: reason => metrics.increment("inputs_discarded_total", { reason }),
    });
}
