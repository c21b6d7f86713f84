import { createServer, request as httpRequest } from "node:http";
import { Agent } from "node:http";

/**
 * Runs a bare pass-through proxy on Node's `http` module: the least work that any router on this platform does.
 *
 * @param address IP address and port to listen at.
 * @param target IP address and port of the service.
 * @example
 * ```ts
 * runPassThrough("127.0.0.1:8090", "127.0.0.1:9500");
 * ```
 */
export function runPassThrough(address: string, target: string): void {
    const [host = "", port = ""] = address.split(":");
    const [targetHost = "", targetPort = ""] = target.split(":");
    const agent = new Agent({ keepAlive: true });
    const server = createServer((request, response) => {
        const { method, url, headers } = request;
        const upstreamRequest = httpRequest(
            { host: targetHost, port: targetPort, method, path: url, headers, agent },
            upstreamResponse => {
                response.writeHead(upstreamResponse.statusCode ?? 502, upstreamResponse.headers);
                upstreamResponse.pipe(response);
            },
        );
        upstreamRequest.on("error", () => response.destroy());
        request.pipe(upstreamRequest);
    });
    server.listen(Number(port), host);
}
