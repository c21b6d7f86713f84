import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { FrameDecoder } from "../instances/mod.ts";

const PROBE_MILLISECONDS = 50;
const MAXIMUM_HANDSHAKE_BYTES = 1_024;

/** A connection through the proxy. */
interface ProxiedConnection {
    /** Name of the instance that opened it; undefined until its handshake arrives. */
    source: string | undefined;
    client: Socket;
    target: Socket;
}

/**
 * Forwards the connections of other instances to one instance, unless a partition separates them from it. Bytes on a
 * connection across the partition are not delivered, as in a network that drops packets; no connection is refused.
 *
 * @example
 * ```ts
 * const proxy = new PartitionProxy("127.0.0.1:10001", "127.0.0.1:10002");
 * await proxy.listen();
 * proxy.cut(new Set(["instance-2"]));
 * ```
 */
export class PartitionProxy {
    readonly #server: Server;
    readonly #connections = new Set<ProxiedConnection>();
    #partitionedSources = new Set<string>();
    #closed = false;

    /**
     * @param address Address at which other instances reach the instance.
     * @param targetAddress Address that the instance listens at.
     */
    constructor(
        private readonly address: string,
        private readonly targetAddress: string,
    ) {
        this.#server = createServer(client => this.#accept(client));
    }

    /**
     * Starts listening.
     *
     * @returns A promise that resolves once the port is open.
     */
    async listen(): Promise<void> {
        const { host, port } = parseAddress(this.address);
        this.#server.listen(port, host);
        await once(this.#server, "listening");
    }

    /**
     * Sets the instances that are partitioned from the target. Connections that stalled are closed once their instance
     * is no longer partitioned, so that it opens new ones.
     *
     * @param sources Names of the instances.
     */
    cut(sources: Set<string>): void {
        this.#partitionedSources = sources;
        for (const connection of this.#connections) {
            if (connection.source !== undefined && sources.has(connection.source)) {
                connection.client.unpipe(connection.target);
                connection.target.unpipe(connection.client);
                connection.client.pause();
                connection.target.pause();
            }
            else if (connection.client.isPaused()) {
                connection.client.destroy();
            }
        }
    }

    /**
     * Closes the port and every connection.
     *
     * @returns A promise that resolves once everything is closed.
     */
    async close(): Promise<void> {
        this.#closed = true;
        this.#connections.forEach(({ client }) => client.destroy());
        if (this.#server.listening) {
            this.#server.close();
            await once(this.#server, "close");
        }
    }

    #accept(client: Socket): void {
        const target = connect(parseAddress(this.targetAddress));
        const connection: ProxiedConnection = { source: undefined, client, target };
        this.#connections.add(connection);
        const closeBoth = () => {
            client.destroy();
            target.destroy();
            this.#connections.delete(connection);
        };
        client.on("error", closeBoth).on("close", closeBoth);
        target.on("close", closeBoth);
        target.on("error", (error: Error & { code?: string; }) => {
            closeBoth();
            if (error.code === "ECONNREFUSED") {
                // The instance has terminated: its address must refuse connections too.
                void this.#closeUntilTargetListens();
            }
        });
        target.pipe(client);
        client.once("data", (handshake: Buffer) => {
            connection.source = parseClientName(handshake);
            target.write(handshake);
            if (connection.source !== undefined && this.#partitionedSources.has(connection.source)) {
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
        this.#connections.forEach(({ client }) => client.destroy());
        while (!this.#closed && !await this.#targetListens()) {
            await new Promise(resolve => setTimeout(resolve, PROBE_MILLISECONDS).unref());
        }
        if (!this.#closed) {
            await this.listen().catch(() => {});
        }
    }

    async #targetListens(): Promise<boolean> {
        const probe = connect(parseAddress(this.targetAddress));
        const listens = await Promise.race([
            once(probe, "connect").then(() => true, () => false),
            once(probe, "close").then(() => false),
        ]);
        probe.destroy();
        return listens;
    }
}

/** Reads the client's name from its handshake frame. */
function parseClientName(bytes: Buffer): string | undefined {
    const [frame] = new FrameDecoder(MAXIMUM_HANDSHAKE_BYTES).push(bytes);
    return (frame?.message as { name?: string; } | undefined)?.name;
}

function parseAddress(address: string): { host: string; port: number; } {
    const [host = "", port = "0"] = address.split(":");
    return { host, port: Number(port) };
}
