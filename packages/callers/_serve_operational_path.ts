import type { ServerResponse } from "node:http";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Answers health checks and requests for metrics; returns whether the request was one of them. */
export function serveOperationalPath(
    path: string,
    response: ServerResponse,
    { notReadyReason, metrics }: Pick<CallerServerOptions, "notReadyReason" | "metrics">,
): boolean {
    if (path === "/healthz") {
        response.writeHead(200).end("ok\n");
        return true;
    }
    if (path === "/readyz") {
        const reason = notReadyReason();
        response.writeHead(reason === undefined ? 200 : 503).end(`${reason ?? "ready"}\n`);
        return true;
    }
    if (path === "/metrics") {
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        response.end(metrics.render());
        return true;
    }
    return false;
}
