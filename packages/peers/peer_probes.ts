import * as z from "zod";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import { logFailure, type Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { DeliveryProofs } from "./delivery_proofs.ts";
import type { MemberList } from "./member_list.ts";
import type { Peer } from "./peer.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Shortest time between two probes of a peer. */
const MINIMUM_PERIOD_MILLISECONDS = 500;
/** Maximum probes that one instance sends in a second. */
const PROBES_PER_SECOND = 12;
/** Maximum probes that are sent together. */
const MAXIMUM_PROBES_AT_ONCE = 2;
const TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies of {@linkcode PeerProbes}. */
interface PeerProbesOptions {
    self: Peer;
    pool: InstancePool;
    server: InstanceServer;
    members: MemberList;
    metrics: Metrics;
    logger: Logger;
    /** Time in milliseconds between two steps. */
    periodMilliseconds: number;
}

/**
 * Probes peers, so that a connection that no longer delivers data is detected and closed. A connection that reports have
 * proven to deliver needs no probe.
 *
 * @example
 * ```ts
 * const probes = new PeerProbes(options);
 * probes.proofs.record(report);
 * probes.step(peers);
 * ```
 */
export class PeerProbes {
    readonly #proofs: DeliveryProofs;
    #due = 0;
    #next = 0;

    /**
     * @param options Dependencies of the probes.
     */
    constructor(private readonly options: PeerProbesOptions) {
        this.#proofs = new DeliveryProofs(options.self, monotonicMilliseconds);
        options.server.handle("peers.probe", z.object({}), async () => ({}));
    }

    /** Proofs that reports ask for and return. */
    get proofs(): DeliveryProofs {
        return this.#proofs;
    }

    /**
     * Probes the peers whose turn it is.
     *
     * @param peers The peers whose connections are to be checked.
     */
    step(peers: Peer[]): void {
        const period = Math.max(
            MINIMUM_PERIOD_MILLISECONDS,
            peers.length / PROBES_PER_SECOND * MILLISECONDS_PER_SECOND,
        );
        const due = this.#due + peers.length / period * this.options.periodMilliseconds;
        this.#due = Math.min(MAXIMUM_PROBES_AT_ONCE, due);
        for (let count = 0; count < peers.length && this.#due >= 1; count++) {
            const peer = peers[this.#next++ % peers.length];
            if (peer && this.#proofs.takeDue(peer, period, this.options.pool.isConnected(peer))) {
                this.#due--;
                this.#probe(peer).catch(logFailure(this.options.logger, "peer probe failed", { peer: peer.name }));
            }
        }
    }

    async #probe(peer: Peer): Promise<void> {
        const { pool, members, logger, metrics } = this.options;
        const response = await pool.call(peer, "peers.probe", {}, TIMEOUT_MILLISECONDS);
        if (response.isErr()) {
            members.suspect(peer.name);
        }
        if (response.isErr() && response.error.kind === "timeout") {
            logger.warn("peer does not answer", { peer: peer.name });
            metrics.increment("peer_timeouts_total");
            pool.disconnect(peer);
        }
    }
}
