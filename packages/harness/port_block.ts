import { once } from "node:events";
import { createServer, type Server } from "node:net";

/** The blocks lie below the range of ephemeral ports, which the system uses for outgoing connections. */
const FIRST_PORT = 10_000;
const BLOCK_SIZE = 100;
const BLOCKS = 200;

/**
 * A block of ports that no other process of this project uses. Its first port stays open as a lock.
 *
 * @example
 * ```ts
 * const ports = await PortBlock.reserve();
 * const address = `127.0.0.1:${ports.next()}`;
 * await ports.close();
 * ```
 */
export class PortBlock {
    #used = 0;

    private constructor(
        private readonly lock: Server,
        private readonly first: number,
    ) {}

    /**
     * Reserves a block.
     *
     * @returns The block.
     * @throws {Error} If every block is in use.
     */
    static async reserve(): Promise<PortBlock> {
        const start = Math.floor(Math.random() * BLOCKS);
        for (let step = 0; step < BLOCKS; step++) {
            const first = FIRST_PORT + (start + step) % BLOCKS * BLOCK_SIZE;
            const lock = await listen(first);
            if (lock && await areFree(first + 1, BLOCK_SIZE - 1)) {
                return new PortBlock(lock, first);
            }
            lock?.close();
        }
        throw new Error("Cannot reserve ports: every block is in use");
    }

    /**
     * Takes the next port of the block.
     *
     * @returns The port.
     * @throws {RangeError} If the block is exhausted.
     */
    next(): number {
        this.#used++;
        if (this.#used >= BLOCK_SIZE) {
            throw new RangeError("Cannot take a port: the block is exhausted");
        }
        return this.first + this.#used;
    }

    /**
     * Releases the block.
     *
     * @returns A promise that resolves once other processes can reserve it.
     */
    async close(): Promise<void> {
        if (this.lock.listening) {
            this.lock.close();
            await once(this.lock, "close");
        }
    }
}

/** Opens a port, or returns undefined if it is taken. */
async function listen(port: number): Promise<Server | undefined> {
    const server = createServer(socket => socket.destroy());
    server.unref();
    server.listen(port, "127.0.0.1");
    const listens = await once(server, "listening").then(() => true, () => false);
    return listens ? server : undefined;
}

/** Reports whether all ports are free. A process that is still ending may hold a port of a released block. */
async function areFree(first: number, count: number): Promise<boolean> {
    const servers = await Promise.all(Array.from({ length: count }, (_, index) => listen(first + index)));
    servers.forEach(server => server?.close());
    return servers.every(server => server !== undefined);
}
