import type { Server } from "node:http";
import { computeConnectionBounds, ConnectionBound, readDescriptorLimit } from "../connections/mod.ts";
import { TOO_MANY_CONNECTIONS_CODE } from "./_too_many_connections_code.ts";
import type { CallerConnections } from "./caller_connections.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Bounds the connections of a server for callers. */
export function boundConnections(
    server: Server,
    connections: CallerConnections,
    context: GatewayContext,
): ConnectionBound {
    return new ConnectionBound(server, {
        bounds: computeConnectionBounds(readDescriptorLimit(context.settings().maximumDescriptors)),
        idle: connections,
        metrics: context.metrics,
        logger: context.logger,
        answer: socket => {
            const error = Object.assign(new Error("Too many connections"), { code: TOO_MANY_CONNECTIONS_CODE });
            server.emit("clientError", error, socket);
        },
    });
}
