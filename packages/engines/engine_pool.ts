import type { Engine } from "./engine.ts";
import { HttpEngine } from "./http_engine.ts";

/**
 * Maintains one client for each engine address.
 *
 * @example
 * ```ts
 * const engines = new EnginePool();
 * await engines.at("127.0.0.1:9000").report();
 * await engines.close();
 * ```
 */
export class EnginePool {
    readonly #engines = new Map<string, Engine>();

    /**
     * Returns the client of an engine.
     *
     * @param address IP address and port.
     * @returns The client.
     */
    at(address: string): Engine {
        let engine = this.#engines.get(address);
        if (!engine) {
            engine = new HttpEngine(address);
            this.#engines.set(address, engine);
        }
        return engine;
    }

    /**
     * Closes the clients of engines that are no longer configured.
     *
     * @param addresses Addresses of the engines that are still configured.
     */
    retain(addresses: Set<string>): void {
        for (const [address, engine] of this.#engines) {
            if (!addresses.has(address)) {
                this.#engines.delete(address);
                void engine.close();
            }
        }
    }

    /**
     * Closes every client.
     *
     * @returns A promise that resolves once all are closed.
     */
    async close(): Promise<void> {
        await Promise.all([...this.#engines.values()].map(engine => engine.close()));
        this.#engines.clear();
    }
}
