import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { FrameDecoder } from "../instances/mod.ts";

const PROBE_MILLISECONDS = 50;
const MAXIMUM_HANDSHAKE_BYTES = 1_024;

/** A connection through the relay. */
interface Passage {
    source: string | undefined;
    client: Socket;
    target: Socket;
}

/**
 * Passes the connections of other instances on to one instance, unless they are cut off from it. Bytes of a cut
 * connection stay on their way, as in a network that drops packets; nothing is refused.
 *
 * @example
 * ```ts
 * const relay = new PartitionRelay("127.0.0.1:10001", "127.0.0.1:10002");
 * await relay.listen();
 * relay.cut(new Set(["instance-2"]));
 * ```
 */
export class PartitionProxy {
    readonly #server: Server;
    readonly #passages = new Set<Passage>();
    #cutSources = new Set<string>();
    #closed = false;

    /**
     * @param address Address that the instance is known by.
     * @param targetAddress Address that the instance listens at.
     */
    constructor(
        private readonly address: string,
        private readonly targetAddress: string,
    ) {
        this.#server = createServer(client => this.#accept(client));
    }

    /**
     * Starts to listen.
     *
     * @returns A promise that resolves once the port is open.
     */
    async listen(): Promise<void> {
        const { host, port } = split(this.address);
        this.#server.listen(port, host);
        await once(this.#server, "listening");
    }

    /**
     * Cuts some instances off; connections of those that are no longer cut off break, and new ones pass.
     *
     * @param sources Names of the instances.
     */
    cut(sources: Set<string>): void {
        this.#cutSources = sources;
        for (const passage of this.#passages) {
            if (passage.source !== undefined && sources.has(passage.source)) {
                passage.client.unpipe(passage.target);
                passage.target.unpipe(passage.client);
                passage.client.pause();
                passage.target.pause();
            }
            else if (passage.client.isPaused()) {
                passage.client.destroy();
            }
        }
    }

    /**
     * Closes the port and every connection.
     *
     * @returns A promise that resolves once all is closed.
     */
    async close(): Promise<void> {
        this.#closed = true;
        this.#passages.forEach(({ client }) => client.destroy());
        if (this.#server.listening) {
            this.#server.close();
            await once(this.#server, "close");
        }
    }

    #accept(client: Socket): void {
        const target = connect(split(this.targetAddress));
        const passage: Passage = { source: undefined, client, target };
        this.#passages.add(passage);
        const end = () => {
            client.destroy();
            target.destroy();
            this.#passages.delete(passage);
        };
        client.on("error", end).on("close", end);
        target.on("close", end);
        target.on("error", (error: Error & { code?: string; }) => {
            end();
            if (error.code === "ECONNREFUSED") {
                // The instance is gone: its address must refuse connections too.
                void this.#closeUntilTargetListens();
            }
        });
        target.pipe(client);
        client.once("data", (first: Buffer) => {
            passage.source = nameIn(first);
            target.write(first);
            if (passage.source !== undefined && this.#cutSources.has(passage.source)) {
                target.unpipe(client);
                client.pause();
                target.pause();
                return;
            }
            client.pipe(target);
        });
    }

    async #closeUntilTargetListens(): Promise<void> {
        if (!this.#server.listening) {
            return;
        }
        this.#server.close();
        this.#passages.forEach(({ client }) => client.destroy());
        while (!this.#closed && !await this.#targetListens()) {
            await new Promise(resolve => setTimeout(resolve, PROBE_MILLISECONDS).unref());
        }
        if (!this.#closed) {
            await this.listen().catch(() => {});
        }
    }

    async #targetListens(): Promise<boolean> {
        const probe = connect(split(this.targetAddress));
        const listens = await Promise.race([
            once(probe, "connect").then(() => true, () => false),
            once(probe, "close").then(() => false),
        ]);
        probe.destroy();
        return listens;
    }
}

/** The first frame of a client says its name. */
function nameIn(bytes: Buffer): string | undefined {
    const [frame] = new FrameDecoder(MAXIMUM_HANDSHAKE_BYTES).push(bytes);
    return (frame?.message as { name?: string; } | undefined)?.name;
}

function split(address: string): { host: string; port: number; } {
    const [host = "", port = "0"] = address.split(":");
    return { host, port: Number(port) };
}
