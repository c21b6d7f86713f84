import type { Server } from "node:http";
import type { PipeliningLimit } from "../pipelining/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Applies the configured limits of callers to their server; a request with its body may take at least some time. */
export function applyCallerLimits(
    server: Server,
    pipeliningLimit: PipeliningLimit,
    { directory }: GatewayContext,
    leastRequestMilliseconds: number,
): void {
    const limits = directory.configuration?.limits;
    if (limits) {
        pipeliningLimit.maximumHeadBytes = limits.maximumHeaderBytes;
        server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
        server.headersTimeout = limits.headerTimeoutMilliseconds;
        server.requestTimeout = Math.max(leastRequestMilliseconds, limits.headerTimeoutMilliseconds);
    }
}
