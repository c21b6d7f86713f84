import type { Peer } from "./peer.ts";
import type { PeerReport } from "./peer_report.ts";

/** What a report says on the arrival of earlier ones. */
type DeliveryFields = Pick<PeerReport, "sentAt" | "arrived">;

/**
 * Proofs that the connections to peers deliver: each peer returns in its reports when the last one that has arrived was
 * sent, so that only connections without a recent proof need a probe.
 *
 * @example
 * ```ts
 * const proofs = new DeliveryProofs(self, monotonicMilliseconds);
 * proofs.createFields([peer]); // { sentAt: 1200, arrived: {} }
 * proofs.takeDue(peer, 1_250, true); // true
 * ```
 */
export class DeliveryProofs {
    /** By incarnation: time of the peer's last timed report, by the peer's clock. */
    readonly #arrivals = new Map<string, number>();
    /** By incarnation: time in milliseconds at which the last report that has arrived there was sent. */
    readonly #proofs = new Map<string, number>();
    /** By incarnation: time in milliseconds of the last probe. */
    readonly #probes = new Map<string, number>();

    /**
     * @param self This instance.
     * @param now Returns the monotonic time in milliseconds.
     */
    constructor(private readonly self: Pick<Peer, "incarnation">, private readonly now: () => number) {}

    /**
     * Records a report of a peer.
     *
     * @param report The report.
     */
    record(report: DeliveryFields & Pick<Peer, "incarnation">): void {
        const { incarnation, sentAt, arrived } = report;
        if (sentAt !== undefined) {
            this.#arrivals.set(incarnation, sentAt);
        }
        const proof = arrived?.[this.self.incarnation];
        // A peer cannot have received what has not been sent yet.
        if (proof !== undefined && proof <= this.now()) {
            this.#proofs.set(incarnation, proof);
        }
    }

    /**
     * Creates the fields of a report that ask for proofs and return them. Forgets processes that are no longer peers.
     *
     * @param peers The peers that the report is sent to.
     * @returns The fields.
     */
    createFields(peers: Pick<Peer, "incarnation">[]): Required<DeliveryFields> {
        const incarnations = new Set(peers.map(({ incarnation }) => incarnation));
        for (const times of [this.#arrivals, this.#proofs, this.#probes]) {
            [...times.keys()].filter(incarnation => !incarnations.has(incarnation)).forEach(key => times.delete(key));
        }
        return { sentAt: Math.floor(this.now()), arrived: Object.fromEntries(this.#arrivals) };
    }

    /**
     * Returns whether a peer is to be probed, and takes it as probed if it is.
     *
     * @param peer The peer.
     * @param period Time in milliseconds for which a proof or a probe holds.
     * @param connected Whether the connection stands; else only a probe counts.
     * @returns Whether it is due.
     */
    takeDue(peer: Pick<Peer, "incarnation">, period: number, connected: boolean): boolean {
        const { incarnation } = peer;
        const now = this.now();
        const proof = connected ? this.#proofs.get(incarnation) : undefined;
        const latest = Math.max(
            proof ?? Number.NEGATIVE_INFINITY,
            this.#probes.get(incarnation) ?? Number.NEGATIVE_INFINITY,
        );
        if (now - latest < period) {
            return false;
        }
        this.#probes.set(incarnation, now);
        return true;
    }
}
