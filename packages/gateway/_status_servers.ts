import { createServer, type Server } from "node:http";
import { BackgroundListener, listen } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

/** HTTP servers for the load balancer's readiness check and for counters. */
export class StatusServers {
    readonly #readinessServer: Server;
    readonly #metricsListener: BackgroundListener;

    /**
     * @param readinessPath Path of the readiness check.
     * @param isReady Returns whether the load balancer may send requests.
     * @param metrics Counters and histograms.
     * @param logger Logs that the port of the counters cannot be opened.
     */
    constructor(readinessPath: string, isReady: () => boolean, metrics: Metrics, logger: Logger) {
        this.#readinessServer = createServer((request, response) => {
            response.writeHead(request.url === readinessPath && isReady() ? 200 : 503);
            response.end();
        });
        const metricsServer = createServer((_request, response) => {
            response.writeHead(200, { "Content-Type": "text/plain" });
            response.end(metrics.render());
        });
        this.#metricsListener = new BackgroundListener(metricsServer, logger);
    }

    /**
     * Opens the ports. Does not wait for that of the counters, since serving does not need it.
     *
     * @param readinessAddress Address of the readiness check.
     * @param metricsAddress Address of the counters; undefined if they are not served.
     * @returns A promise that resolves once the port of the readiness check is open.
     * @throws {Error} If the port of the readiness check stays in use.
     */
    async listen(readinessAddress: string, metricsAddress: string | undefined): Promise<void> {
        if (metricsAddress !== undefined) {
            this.#metricsListener.open(metricsAddress);
        }
        await listen(this.#readinessServer, readinessAddress);
    }

    /** Closes the ports. */
    close(): void {
        this.#readinessServer.close();
        this.#metricsListener.close();
    }
}
