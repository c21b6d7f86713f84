import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { nameServerStart } from "./_name_server_start.ts";

/** Fraction of the drain time after which a leaving server gets nothing more; a request takes a while to arrive. */
const USED_DRAIN_FRACTION = 0.8;
/** Largest number of remembered servers; the oldest are forgotten, which have ended long ago. */
const MAXIMUM_SERVERS = 8_192;
/** Largest number of servers in a report. */
const MAXIMUM_REPORTED_SERVERS = 1_024;

/** A start of a server: its id and the Unix time in milliseconds at which it started. */
type ServerStart = Pick<RegisteredServer, "id" | "startedAt">;

/** What is known of a leaving server. */
interface LeavingServer extends ServerStart {
    /** Time in milliseconds of the first notice. */
    since: number;
    /** Whether the server itself said so to this instance. */
    firsthand: boolean;
}

/** Dependencies of {@linkcode LeavingServers}. */
interface LeavingServersOptions {
    directory: Pick<Directory, "servers">;
    clock: Pick<SuspensionAwareClock, "now">;
    /** Time in milliseconds after a server has said that it leaves, from which it must get nothing. */
    drainMilliseconds: () => number;
    metrics: Metrics;
    logger: Logger;
}

/**
 * Remembers the servers that have said in a response that they leave. A registration does not take that back; only
 * another start of the server does.
 *
 * @example
 * ```ts
 * const leaving = new LeavingServers({ directory, clock, drainMilliseconds: () => 2_000, metrics, logger });
 * leaving.record(server, "answer");
 * leaving.isLeaving(server); // true
 * ```
 */
export class LeavingServers {
    /** By id and start, since an older entry of a server, or a peer that has read one, may come after a newer one. */
    readonly #servers = new Map<string, LeavingServer>();

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: LeavingServersOptions) {}

    /**
     * Records that a server leaves.
     *
     * @param server The server, as it was registered when the request was sent.
     * @param source Whether the server itself or a peer said so.
     */
    record(server: ServerStart, source: "answer" | "peer"): void {
        const { directory, clock, metrics, logger } = this.options;
        const { id, startedAt } = server;
        const registered = directory.servers.get(id);
        if (registered && registered.startedAt !== startedAt) {
            return;
        }
        const known = this.#find(server);
        const firsthand = source === "answer" || (known?.firsthand ?? false);
        if (known?.firsthand === firsthand) {
            return;
        }
        this.#servers.set(nameServerStart(server), { id, startedAt, since: known?.since ?? clock.now(), firsthand });
        this.#forgetOldest();
        if (!known) {
            metrics.increment("servers_leaving_total", { source });
            logger.info("server says that it leaves", { server: id, startedAt, source, service: registered?.service });
        }
    }

    /**
     * Returns whether a server has said that it leaves, so that others are to be preferred.
     *
     * @param server The server.
     * @returns Whether it has.
     */
    isLeaving(server: ServerStart): boolean {
        return this.#find(server) !== undefined;
    }

    /**
     * Returns whether a server must get no request, even if no other server can take it.
     *
     * @param server The server.
     * @returns Whether it must not.
     */
    isExcluded(server: ServerStart): boolean {
        const known = this.#find(server);
        return known !== undefined
            && this.options.clock.now() - known.since >= this.options.drainMilliseconds() * USED_DRAIN_FRACTION;
    }

    /**
     * Lists the registered servers that have said to this instance that they leave.
     *
     * @returns Pairs of id and start time.
     */
    firsthand(): [string, number][] {
        const pairs: [string, number][] = [];
        for (const { id, startedAt, firsthand } of this.#servers.values()) {
            if (firsthand && this.options.directory.servers.get(id)?.startedAt === startedAt) {
                pairs.push([id, startedAt]);
            }
        }
        return pairs.slice(-MAXIMUM_REPORTED_SERVERS);
    }

    #find(server: ServerStart): LeavingServer | undefined {
        return this.#servers.get(nameServerStart(server));
    }

    #forgetOldest(): void {
        const [oldest] = this.#servers.keys();
        if (this.#servers.size > MAXIMUM_SERVERS && oldest !== undefined) {
            this.#servers.delete(oldest);
        }
    }
}
