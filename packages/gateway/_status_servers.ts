import { createServer, type Server } from "node:http";
import { listen } from "../instances/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** HTTP servers for the load balancer's readiness check and for counters. */
export class StatusServers {
    readonly #readinessServer: Server;
    readonly #metricsServer: Server;

    /**
     * @param readinessPath Path of the readiness check.
     * @param isReady Returns whether the load balancer may send requests.
     * @param metrics Counters and histograms.
     */
    constructor(readinessPath: string, isReady: () => boolean, metrics: Metrics) {
        this.#readinessServer = createServer((request, response) => {
            response.writeHead(request.url === readinessPath && isReady() ? 200 : 503);
            response.end();
        });
        this.#metricsServer = createServer((_request, response) => {
            response.writeHead(200, { "Content-Type": "text/plain" });
            response.end(metrics.render());
        });
    }

    /**
     * Opens the ports.
     *
     * @param readinessAddress IP address and port of the readiness check.
     * @param metricsAddress IP address and port of the counters.
     * @returns A promise that resolves once the ports are open.
     * @throws {Error} If a port stays in use.
     */
    async listen(readinessAddress: string, metricsAddress: string): Promise<void> {
        await listen(this.#readinessServer, readinessAddress);
        await listen(this.#metricsServer, metricsAddress);
    }

    /** Closes the ports. */
    close(): void {
        this.#readinessServer.close();
        this.#metricsServer.close();
    }
}
