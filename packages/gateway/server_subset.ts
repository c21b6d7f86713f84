import { createHash } from "node:crypto";
import type { RegisteredServer } from "../directory/mod.ts";
import type { Cell } from "../peers/mod.ts";

/** Smallest number of servers to choose from. */
const MINIMUM_SERVERS = 2;
/** Number of cached slices: one for each service and stage, and for each set of registered servers. */
const MAXIMUM_CACHED_SLICES = 16;
/** Number of servers whose ranks and positions are cached; the largest fleets have about 4,400 servers. */
const MAXIMUM_CACHED_SERVERS = 8_192;

/**
 * Selects the servers that the instances of a cell choose from. Only members of one cell report their loads to each
 * other, so the servers are divided among the cells in proportion to their instances, those of the same failure domain
 * first. Other servers are used, at random, while none of the cell's own is eligible.
 *
 * @example
 * ```ts
 * const subset = new ServerSubset("instance-1", () => undefined, () => 1, () => ["instance-2"]);
 * subset.narrow(eligible, all); // all eligible ones, as there is only one cell
 * ```
 */
export class ServerSubset {
    /** Ranks by the servers' ids, one map for each order. */
    readonly #ranks = { own: new Map<string, number>(), common: new Map<string, number>() };
    /** Positions of this instance in the orders of the servers, for the peers of which they were computed. */
    #positions: { peers: readonly string[]; byServer: Map<string, number>; } = { peers: [], byServer: new Map() };
    readonly #slices = new Map<string, ReadonlySet<string>>();

    /**
     * @param self Name of this instance.
     * @param cell Returns the cell of this instance; undefined while it is not known.
     * @param fraction Returns the fraction of the servers to choose from in a fleet of one cell, up to 1.
     * @param peers Returns the names of the other instances. Positions are computed again for each other array.
     */
    constructor(
        private readonly self: string,
        private readonly cell: () => Pick<Cell, "start" | "end"> | undefined,
        private readonly fraction: () => number,
        private readonly peers: () => readonly string[],
    ) {}

    /**
     * Reduces eligible servers to those that this instance prefers.
     *
     * @param eligible Servers that may be used now.
     * @param all All servers that the cells divide, including those that are not eligible.
     * @returns The preferred eligible servers; a few others if none of the preferred ones is eligible.
     */
    narrow(eligible: RegisteredServer[], all: RegisteredServer[]): RegisteredServer[] {
        const { start, end } = this.cell() ?? { start: 0, end: 1 };
        if (eligible.length <= 1) {
            return eligible;
        }
        if (end - start >= 1) {
            return this.#narrowUndivided(eligible, all.length);
        }
        const preferred = this.#slice(all, start, end);
        const own = eligible.filter(({ id }) => preferred.has(id));
        if (own.length > 0) {
            return own;
        }
        // The loads of these are not known. A random choice spreads the requests of all cells over them.
        const first = Math.floor(Math.random() * eligible.length);
        return eligible.slice(first, first + 1);
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
        return this.rankOf(server) < count;
    }

    /**
     * Returns the position of this instance in the order of instances that rank a server highest.
     *
     * @param server Id of the server.
     * @returns The position, from 0.
     */
    rankOf(server: string): number {
        const peers = this.peers();
        if (this.#positions.peers !== peers) {
            this.#positions = { peers, byServer: new Map() };
        }
        return cached(this.#positions.byServer, server, () => {
            const own = this.#rank("own", server);
            return peers.filter(peer => computeRank(peer, server) < own).length;
        });
    }

    /**
     * In a fleet of one cell whose reports are late, each instance prefers servers of its own, since all would choose the
     * one that was least loaded at the last report.
     */
    #narrowUndivided(eligible: RegisteredServer[], total: number): RegisteredServer[] {
        const size = Math.max(MINIMUM_SERVERS, Math.ceil(total * this.fraction()));
        if (eligible.length <= size) {
            return eligible;
        }
        return eligible
            .map(server => ({ server, rank: this.#rank("own", server.id) }))
            .sort((left, right) => left.rank - right.rank)
            .slice(0, size)
            .map(({ server }) => server);
    }

    /** Ids of the part of the servers, ordered by failure domain and hash, that belongs to a part of the fleet. */
    #slice(all: RegisteredServer[], start: number, end: number): ReadonlySet<string> {
        const key = [start, end, ...all.map(({ id }) => id)].join("\n");
        let slice = this.#slices.get(key);
        if (!slice) {
            const ordered = [...all].sort((left, right) =>
                left.failureDomain.localeCompare(right.failureDomain)
                || this.#rank("common", left.id) - this.#rank("common", right.id)
            );
            const first = Math.floor(start * ordered.length);
            const length = Math.min(ordered.length, Math.max(MINIMUM_SERVERS, Math.ceil(end * ordered.length) - first));
            slice = new Set(
                [...ordered, ...ordered].slice(first, first + length).map(({ id }) => id),
            );
            if (this.#slices.size >= MAXIMUM_CACHED_SLICES) {
                this.#slices.clear();
            }
            this.#slices.set(key, slice);
        }
        return slice;
    }

    #rank(order: "own" | "common", server: string): number {
        return cached(this.#ranks[order], server, () => computeRank(order === "own" ? this.self : "", server));
    }
}

function computeRank(instance: string, server: string): number {
    return createHash("sha1").update(`${instance}\n${server}`).digest().readUInt32BE(0);
}

/** Returns the value of a server; computes it if it is not known. */
function cached(values: Map<string, number>, server: string, compute: () => number): number {
    let value = values.get(server);
    if (value === undefined) {
        value = compute();
        if (values.size >= MAXIMUM_CACHED_SERVERS) {
            values.clear();
        }
        values.set(server, value);
    }
    return value;
}
