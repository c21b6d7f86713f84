import { createHash } from "node:crypto";
import type { RegisteredServer } from "../directory/mod.ts";

/** Fewest servers that are chosen from. */
const FEWEST = 2;
/** Ranks that are remembered; a fleet at its largest has some 4,400 servers. */
const REMEMBERED = 8_192;

/**
 * Narrows the servers that an instance chooses from. In a large fleet reports of peers come late, so that instances which
 * all chose the best of all servers would choose the same one. Each instance prefers servers of its own, which also
 * keeps its connections to them in use, and takes others when none of them can be used.
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
     * @param share Returns the part of the servers that is chosen from, up to 1.
     * @param peers Returns the names of the other instances.
     */
    constructor(
        private readonly self: string,
        private readonly share: () => number,
        private readonly peers: () => string[],
    ) {}

    /**
     * Narrows servers to those that this instance prefers.
     *
     * @param eligible Servers that may be used now.
     * @param total Number of all servers of the kind.
     * @returns The preferred ones among the eligible.
     */
    narrow(eligible: RegisteredServer[], total: number): RegisteredServer[] {
        const size = Math.max(FEWEST, Math.ceil(total * this.share()));
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
     * Tells whether this instance is one of those that prefer a server most. All instances that know the same peers
     * agree on it.
     *
     * @param server Id of the server.
     * @param count Number of such instances.
     * @returns Whether it is.
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
            if (this.#ranks.size >= REMEMBERED) {
                this.#ranks.clear();
            }
            this.#ranks.set(key, rank);
        }
        return rank;
    }
}
