import type { Server } from "node:net";
import { sleep } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { openPort } from "./_open_port.ts";

const RETRY_MILLISECONDS = 1_000;

/**
 * Opens a port that serving does not need: a port that cannot be opened is logged, and tried again until it is open.
 *
 * @example
 * ```ts
 * const listener = new BackgroundListener(createServer(), logger);
 * listener.open("10.0.0.5:9100");
 * listener.close();
 * ```
 */
export class BackgroundListener {
    readonly #closing = new AbortController();

    /**
     * @param server The server, not yet listening.
     * @param logger Logs that the port cannot be opened, and that it is open afterwards.
     */
    constructor(
        private readonly server: Server,
        private readonly logger: Logger,
    ) {}

    /**
     * Begins to open the port. Does not throw.
     *
     * @param address IP address or host name, and port.
     */
    open(address: string): void {
        void this.#openWhenPossible(address);
    }

    /** Closes the port, or stops trying to open it. */
    close(): void {
        this.#closing.abort();
        this.server.close();
    }

    async #openWhenPossible(address: string): Promise<void> {
        for (let attempts = 1; !this.#closing.signal.aborted; attempts++) {
            try {
                await openPort(this.server, address);
                if (this.#closing.signal.aborted) {
                    this.server.close();
                    return;
                }
                if (attempts > 1) {
                    this.logger.info("port is open", { address, attempts });
                }
                return;
            }
            catch (error) {
                if (attempts === 1) {
                    const code = (error as NodeJS.ErrnoException).code;
                    this.logger.warn("cannot open a port that serving does not need", {
                        address,
                        code,
                        error: String(error),
                    });
                }
                await sleep(RETRY_MILLISECONDS, this.#closing.signal);
            }
        }
    }
}
