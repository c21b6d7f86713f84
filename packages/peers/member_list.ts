import { monotonicMilliseconds } from "../clocks/mod.ts";
import { FleetPartition } from "./fleet_partition.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { Peer } from "./peer.ts";

/** Time in milliseconds for which a peer is kept after its last report, or after its registration was removed. */
const RETENTION_MILLISECONDS = 6_000;
/** Time in milliseconds for which a peer that did not answer is not relied on. */
const SUSPICION_MILLISECONDS = 3_000;

/** What is known of one peer. */
interface Entry extends KnownPeer {
    registered: boolean;
    /** Monotonic time in milliseconds at which its registration was removed. */
    removedAt: number;
    suspectedUntil: number;
    /** Monotonic time in milliseconds at which the process became known. */
    knownSince: number;
}

/**
 * The other instances: those registered in the store, and those that were heard of or registered until recently. A
 * store that loses registrations in an outage therefore does not make the fleet look smaller at once.
 *
 * @example
 * ```ts
 * const members = new MemberList({ name: "a", incarnation: "1", address: "10.0.0.1:1", failureDomain: "north" });
 * members.register({ name: "b", incarnation: "2", address: "10.0.0.2:1", failureDomain: "south" });
 * members.peers().length; // 1
 * ```
 */
export class MemberList {
    readonly #entries = new Map<string, Entry>();
    #partition: FleetPartition | undefined;
    #names: { of: FleetPartition; names: readonly string[]; } | undefined;

    /**
     * @param self This instance.
     * @param now Returns the monotonic time in milliseconds.
     */
    constructor(
        private readonly self: Peer,
        private readonly now: () => number = monotonicMilliseconds,
    ) {}

    /** Partition of all instances, this one included. */
    get partition(): FleetPartition {
        this.#removeExpired();
        this.#partition ??= new FleetPartition([this.self, ...[...this.#entries.values()].map(({ peer }) => peer)]);
        return this.#partition;
    }

    /** Names of the other instances; the same array until an instance joins or leaves. */
    get names(): readonly string[] {
        const of = this.partition;
        if (this.#names?.of !== of) {
            this.#names = { of, names: [...this.#entries.keys()] };
        }
        return this.#names.names;
    }

    /**
     * Lists the other instances.
     *
     * @returns The peers with what is known of them.
     */
    peers(): KnownPeer[] {
        this.#removeExpired();
        return [...this.#entries.values()];
    }

    /**
     * Finds a peer.
     *
     * @param name Its name.
     * @returns The peer; undefined if it is not a member.
     */
    find(name: string): KnownPeer | undefined {
        return this.#entries.get(name);
    }

    /**
     * Adds a peer that is registered in the store.
     *
     * @param peer The peer.
     */
    register(peer: Peer): void {
        const entry = this.#update(peer);
        if (entry) {
            entry.registered = true;
        }
    }

    /**
     * Records that the registration of a peer was removed. The peer is kept for a time.
     *
     * @param name Its name.
     */
    unregister(name: string): void {
        const entry = this.#entries.get(name);
        if (entry) {
            entry.registered = false;
            entry.removedAt = this.now();
        }
    }

    /**
     * Records a message from a peer.
     *
     * @param peer The peer.
     * @param readsStore Whether its last read of the store succeeded.
     * @param serversReachable Whether it reaches backend servers. Default: it did not say.
     */
    recordReport(peer: Peer, readsStore: boolean, serversReachable?: boolean): void {
        const entry = this.#update(peer);
        if (entry) {
            entry.lastReportAt = this.now();
            entry.readsStore = readsStore;
            entry.serversReachable = serversReachable;
            entry.suspectedUntil = Number.NEGATIVE_INFINITY;
        }
    }

    /**
     * Returns whether a peer has reported recently.
     *
     * @param name Its name.
     * @param milliseconds Largest age of its last report.
     * @returns Whether it has.
     */
    hasReportedWithin(name: string, milliseconds: number): boolean {
        return (this.#entries.get(name)?.lastReportAt ?? Number.NEGATIVE_INFINITY) > this.now() - milliseconds;
    }

    /**
     * Records that a peer did not answer, or cannot do what is asked of it, so that others are asked for a time.
     *
     * @param name Its name.
     */
    suspect(name: string): void {
        const entry = this.#entries.get(name);
        if (entry) {
            entry.suspectedUntil = this.now() + SUSPICION_MILLISECONDS;
        }
    }

    /**
     * Returns whether a peer has failed to answer recently.
     *
     * @param name Its name.
     * @returns Whether it is suspected.
     */
    isSuspected(name: string): boolean {
        return (this.#entries.get(name)?.suspectedUntil ?? Number.NEGATIVE_INFINITY) > this.now();
    }

    /**
     * Lists the registered members of this instance's cell that have not reported for so long that they may have ended.
     *
     * @returns The peers.
     */
    silentMates(): Peer[] {
        const oldest = this.now() - RETENTION_MILLISECONDS;
        const mates = this.partition.cellOf(this.self.name)?.members ?? [];
        return mates.flatMap(name => this.#entries.get(name) ?? [])
            .filter(({ registered, lastReportAt, knownSince }) =>
                registered && Math.max(lastReportAt, knownSince) < oldest
            )
            .map(({ peer }) => peer);
    }

    #update(peer: Peer): Entry | undefined {
        if (peer.name === this.self.name) {
            return undefined;
        }
        const known = this.#entries.get(peer.name);
        if (known?.peer.incarnation === peer.incarnation && known.peer.failureDomain === peer.failureDomain) {
            // Only registrations name the address for callers.
            if (peer.callersAddress !== undefined) {
                known.peer.callersAddress = peer.callersAddress;
            }
            return known;
        }
        const entry: Entry = {
            peer: { ...peer },
            registered: known?.registered ?? false,
            removedAt: known?.removedAt ?? Number.NEGATIVE_INFINITY,
            lastReportAt: Number.NEGATIVE_INFINITY,
            readsStore: false,
            serversReachable: undefined,
            suspectedUntil: Number.NEGATIVE_INFINITY,
            knownSince: this.now(),
        };
        this.#entries.set(peer.name, entry);
        if (known?.peer.failureDomain !== peer.failureDomain) {
            this.#partition = undefined;
        }
        return entry;
    }

    #removeExpired(): void {
        const oldest = this.now() - RETENTION_MILLISECONDS;
        for (const [name, { registered, removedAt, lastReportAt }] of this.#entries) {
            // A peer of another cell does not report, so only its registration says whether it runs.
            const heardAt = Number.isFinite(lastReportAt) ? lastReportAt : removedAt;
            if (!registered && heardAt < oldest) {
                this.#entries.delete(name);
                this.#partition = undefined;
            }
        }
    }
}
