import type { Server } from "node:http";
import { PipeliningLimit } from "../pipelining/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { RequestMemory } from "./request_memory.ts";

/**
 * Requests of a connection that may be under way at once; 1 while there is no memory for another one, or while so many bytes
 * wait that the close of the connection is not noticed.
 */
const MAXIMUM_UNANSWERED_REQUESTS = 4;

/**
 * Bounds the unanswered requests of each connection of a caller, and the memory of its input.
 *
 * @param context Shared objects of the gateway.
 * @param server The server for callers, which has no listeners for requests so far.
 * @returns The limit, which is attached to the server.
 * @example
 * ```ts
 * const limit = createPipeliningLimit(context, server);
 * limit.waitingBytes(socket); // 0
 * ```
 */
export function createPipeliningLimit(context: GatewayContext, server: Server): PipeliningLimit {
    return new PipeliningLimit(server, {
        maximumUnansweredRequests: MAXIMUM_UNANSWERED_REQUESTS,
        memory: context.memory,
        mayBeginAnother: () => RequestMemory.hasRoom(context.memory),
        onDiscard: (refusal, bytes, unanswered) => {
            if (refusal === "memory-full" && unanswered > 0) {
                context.metrics.increment("gateway_pipelines_cut_total");
                context.logger.info("pipelined requests discarded for want of memory", { bytes, unanswered });
            }
        },
    });
}
