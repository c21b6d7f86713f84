import { monotonicMilliseconds } from "../clocks/mod.ts";
import { instanceId, type InstanceIdentity } from "../instances/mod.ts";
import type { KnownPeer, Peer } from "../peers/mod.ts";
import type { RelayPeer } from "./relay_peer.ts";

/** Age in milliseconds up to which a peer's report says that it reaches servers. */
const REPORT_LIFETIME_MILLISECONDS = 1_500;
/** Time in milliseconds for which a peer is left out that could not take a request. */
const LEFT_OUT_MILLISECONDS = 1_000;
/** The same for a peer that leaves; the time that processes are given to end is about as long. */
const LEAVING_MILLISECONDS = 8_000;

/**
 * Chooses the peers that requests are passed on to.
 *
 * @example
 * ```ts
 * const chooser = new RelayPeerChooser("north", () => mesh.peers());
 * const peer = chooser.choose("orders", new Set());
 * ```
 */
export class RelayPeerChooser {
    /** Requests under way, by name of the peer. */
    readonly #active = new Map<string, number>();
    /** Monotonic times in milliseconds until which peers are left out, for all services or for one; by their process if they leave. */
    readonly #leftOutUntil = new Map<string, number>();

    /**
     * @param failureDomain Failure domain of this instance.
     * @param peers Returns the other instances.
     * @param now Returns the monotonic time in milliseconds.
     * @param random Returns a random number from 0 up to 1.
     */
    constructor(
        private readonly failureDomain: string,
        private readonly peers: () => KnownPeer[],
        private readonly now: () => number = monotonicMilliseconds,
        private readonly random: () => number = Math.random,
    ) {}

    /**
     * Chooses a peer that may reach backend servers: one that has lately said so, else one that has said nothing lately.
     *
     * @param service Name of the request's service.
     * @param tried Names of the peers that have been tried.
     * @returns The peer; undefined if there is none.
     */
    choose(service: string, tried: ReadonlySet<string>): RelayPeer | undefined {
        const usable = this.peers().filter(({ peer, serversReachable }) =>
            serversReachable !== false && !tried.has(peer.name)
            && ![peer.name, instanceId(peer), keyOf(peer.name, service)].some(left => this.#isLeftOut(left))
        );
        const oldest = this.now() - REPORT_LIFETIME_MILLISECONDS;
        const reaching = usable.filter(peer => peer.serversReachable && peer.lastReportAt >= oldest);
        return this.#chooseNear(reaching) ?? this.#chooseNear(usable);
    }

    /**
     * Counts a request that is passed on to a peer.
     *
     * @param name Name of the peer.
     * @returns A function to be called once at its end.
     */
    begin(name: string): () => void {
        this.#active.set(name, this.#activeAt(name) + 1);
        return () => {
            const left = this.#activeAt(name) - 1;
            if (left > 0) {
                this.#active.set(name, left);
            }
            else {
                this.#active.delete(name);
            }
        };
    }

    /**
     * Leaves a peer out for a time.
     *
     * @param name Name of the peer.
     * @param service The only service whose requests are meant. Default: all.
     */
    leaveOut(name: string, service?: string): void {
        this.#leaveOut(service === undefined ? name : keyOf(name, service), LEFT_OUT_MILLISECONDS);
    }

    /**
     * Leaves a process out that is about to end. The next one of the same name may be chosen.
     *
     * @param peer Its name and incarnation.
     */
    leaveOutLeaving(peer: InstanceIdentity): void {
        this.#leaveOut(instanceId(peer), LEAVING_MILLISECONDS);
    }

    #leaveOut(left: string, milliseconds: number): void {
        const now = this.now();
        for (const [key, until] of this.#leftOutUntil) {
            if (until <= now) {
                this.#leftOutUntil.delete(key);
            }
        }
        this.#leftOutUntil.set(left, now + milliseconds);
    }

    #isLeftOut(key: string): boolean {
        return (this.#leftOutUntil.get(key) ?? Number.NEGATIVE_INFINITY) > this.now();
    }

    #activeAt(name: string): number {
        return this.#active.get(name) ?? 0;
    }

    /** Chooses among the peers of this failure domain, else among all. */
    #chooseNear(known: KnownPeer[]): RelayPeer | undefined {
        const peers = known.flatMap(({ peer }) => hasAddress(peer) ? peer : []);
        const near = peers.filter(({ failureDomain }) => failureDomain === this.failureDomain);
        return this.#drawLessBusy(near.length > 0 ? near : peers);
    }

    /** Draws two peers and returns the one with fewer requests from here. */
    #drawLessBusy(peers: RelayPeer[]): RelayPeer | undefined {
        const first = this.#draw(peers);
        const second = this.#draw(peers.filter(peer => peer !== first));
        return first && second && this.#activeAt(second.name) < this.#activeAt(first.name) ? second : first;
    }

    #draw(peers: RelayPeer[]): RelayPeer | undefined {
        return peers[Math.floor(this.random() * peers.length)];
    }
}

function hasAddress(peer: Peer): peer is Peer & RelayPeer {
    return peer.callersAddress !== undefined;
}

function keyOf(name: string, service: string): string {
    return `${name}\n${service}`;
}
