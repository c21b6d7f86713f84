import { createHash } from "node:crypto";
import type { RegisteredServer } from "../directory/mod.ts";

/** Smallest number of servers to choose from. */
const MINIMUM_SERVERS = 2;
/** Number of cached ranks; the largest fleets have about 4,400 servers. */
const MAXIMUM_CACHED_RANKS = 8_192;

/**
 * Selects the subset of servers that an instance chooses from, by rendezvous hashing. In a large fleet the reports of
 * peers arrive late, so that all instances would choose the same least loaded server. Each instance therefore prefers
 * its own subset, which also keeps its connections in use, and uses other servers when none of the subset is eligible.
 *
 * @example
 * ```ts
 * const subset = new ServerSubset("instance-1", () => 0.25, () => ["instance-2"]);
 * subset.narrow(eligible, 40); // ten of them
 * ```
 */
export class ServerSubset {
    readonly #ranks = new Map<string, number>();

    /**
     * @param self Name of this instance.
     * @param fraction Returns the fraction of the servers to choose from, up to 1.
     * @param peers Returns the names of the other instances.
     */
    constructor(
        private readonly self: string,
        private readonly fraction: () => number,
        private readonly peers: () => string[],
    ) {}

    /**
     * Reduces eligible servers to those that this instance prefers.
     *
     * @param eligible Servers that may be used now.
     * @param total Number of all servers, including those that are not eligible.
     * @returns The preferred eligible servers.
     */
    narrow(eligible: RegisteredServer[], total: number): RegisteredServer[] {
        const size = Math.max(MINIMUM_SERVERS, Math.ceil(total * this.fraction()));
        if (eligible.length <= size) {
            return eligible;
        }
        return eligible
            .map(server => ({ server, rank: this.#rank(this.self, server.id) }))
            .sort((left, right) => left.rank - right.rank)
            .slice(0, size)
            .map(({ server }) => server);
    }

    /**
     * Returns whether this instance is among the instances that rank a server highest. All instances that know the same
     * peers agree on it.
     *
     * @param server Id of the server.
     * @param count Number of such instances.
     * @returns Whether it is one of them.
     */
    isTopRanked(server: string, count: number): boolean {
        const own = this.#rank(this.self, server);
        return this.peers().filter(peer => this.#rank(peer, server) < own).length < count;
    }

    #rank(instance: string, server: string): number {
        const key = `${instance}\n${server}`;
        let rank = this.#ranks.get(key);
        if (rank === undefined) {
            rank = createHash("sha1").update(key).digest().readUInt32BE(0);
            if (this.#ranks.size >= MAXIMUM_CACHED_RANKS) {
                this.#ranks.clear();
            }
            this.#ranks.set(key, rank);
        }
        return rank;
    }
}
