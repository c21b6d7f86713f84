import { createServer as createPlainServer, type RequestListener, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Creates the server for callers, with TLS if the options have a certificate. */
export function createServer(
    { settings, tls }: Pick<CallerServerOptions, "settings" | "tls">,
    listener: RequestListener,
): Server {
    const limits = {
        maxHeaderSize: settings.callers.maximumHeaderBytes,
        requestTimeout: settings.callers.requestTimeoutMilliseconds,
        headersTimeout: settings.callers.requestTimeoutMilliseconds,
    };
    return tls
        ? createTlsServer({ ...limits, ...tls, allowHalfOpen: true }, listener)
        : createPlainServer(limits, listener);
}
