import { createServer, request as httpRequest } from "node:http";
import { Agent } from "node:http";

/**
 * Runs a bare pass-through on Node's `http`: the least that any router of this platform does.
 *
 * @param address IP number and port to listen at.
 * @param target IP number and port of the service.
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
        const call = httpRequest({ host: targetHost, port: targetPort, method, path: url, headers, agent }, answer => {
            response.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(response);
        });
        call.on("error", () => response.destroy());
        request.pipe(call);
    });
    server.listen(Number(port), host);
}
