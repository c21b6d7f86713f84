import type { Server } from "node:http";
import { computeConnectionBounds, ConnectionBound, readDescriptorLimit } from "../connections/mod.ts";
import type { PipeliningLimit } from "../pipelining/mod.ts";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Bounds the connections of a server for callers. */
export function boundConnections(
    server: Server,
    pipeliningLimit: PipeliningLimit,
    { settings, tls, metrics, logger }: Pick<CallerServerOptions, "settings" | "tls" | "metrics" | "logger">,
): ConnectionBound {
    server.on("drop", () => metrics.increment("refusals_total", { reason: "too-many-connections" }));
    return new ConnectionBound(server, {
        bounds: computeConnectionBounds(
            readDescriptorLimit(settings.maximumDescriptors),
            settings.callers.maximumConnections,
        ),
        idle: pipeliningLimit,
        metrics,
        logger,
        event: tls ? "secureConnection" : "connection",
    });
}
