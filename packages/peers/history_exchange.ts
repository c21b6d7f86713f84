import * as z from "zod";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { comparePositions, type StorePosition } from "../replica/mod.ts";
import type { HistoryResponse } from "./history_response.ts";
import type { ReplicaExchangeOptions } from "./replica_exchange_options.ts";

/** Time from the first question after which an instance does without a complete answer. */
const LEARNING_MILLISECONDS = 5_000;
const TIMEOUT_MILLISECONDS = 600;

/**
 * Tells an instance that starts which items its peers have seen replaced or removed. It has not seen them itself, and
 * would take them for new when the store comes back from a copy that holds them.
 *
 * @example
 * ```ts
 * const exchange = new HistoryExchange(options);
 * exchange.ask(); // again and again, until a peer has answered
 * ```
 */
export class HistoryExchange {
    /** Whether this instance knows what its peers had seen before it started. */
    #isComplete: boolean;
    #hasGivenUp = false;
    #isAsking = false;
    #firstAskedAt: number | undefined;
    /** This instance has itself seen what was replaced or removed after this position. */
    #seenFrom: StorePosition | undefined;
    /** Begins anywhere, so that instances that start together ask different peers. */
    #askCount = Math.floor(Math.random() * Number.MAX_SAFE_INTEGER / 2);

    /**
     * @param options Dependencies of the exchange.
     */
    constructor(private readonly options: ReplicaExchangeOptions) {
        this.#isComplete = options.isFirstStart;
        options.server.handle("replica.history", z.object({}), async () => this.#respond());
    }

    /** Asks another peer at each call, until one has told everything up to this instance's first snapshot. */
    ask(): void {
        if (this.#isComplete || this.#hasGivenUp || this.#isAsking || !this.options.replica.isFilled) {
            return;
        }
        const now = monotonicMilliseconds();
        this.#firstAskedAt ??= now;
        this.#seenFrom ??= this.options.replica.position;
        if (now - this.#firstAskedAt >= LEARNING_MILLISECONDS) {
            // It is not complete: a peer that starts later has to ask others too.
            this.#hasGivenUp = true;
            this.options.logger.info("no peer knew the whole history", { milliseconds: LEARNING_MILLISECONDS });
            return;
        }
        this.#isAsking = true;
        this.#askAnyPeer(this.#seenFrom)
            .catch(logFailure(this.options.logger, "history not taken from a peer", {}))
            .finally(() => this.#isAsking = false);
    }

    async #askAnyPeer(seenFrom: StorePosition): Promise<void> {
        const { self, members, pool, replica, seedAddresses, logger } = this.options;
        const index = this.#askCount++;
        const peers = members.peers();
        const peer = peers[index % Math.max(1, peers.length)]?.peer;
        const seeds = seedAddresses.filter(address => address !== self.address);
        const address = peer?.address ?? seeds[index % Math.max(1, seeds.length)];
        if (address === undefined) {
            return;
        }
        const response = peer
            ? await pool.call<HistoryResponse>(peer, "replica.history", {}, TIMEOUT_MILLISECONDS)
            : await pool.callAddress<HistoryResponse>(address, "replica.history", {});
        if (response.isErr()) {
            return;
        }
        const { fingerprints, isComplete } = response.value;
        replica.history.addOlder(fingerprints);
        // What a peer that is behind has yet to read may have been replaced before this instance's first snapshot.
        this.#isComplete = isComplete && comparePositions(response.value, seenFrom) >= 0;
        if (this.#isComplete) {
            logger.info("history taken from a peer", { peer: peer?.name ?? address, items: fingerprints.length });
        }
    }

    #respond(): HistoryResponse {
        const { replica } = this.options;
        return {
            ...replica.position,
            fingerprints: replica.history.fingerprints(),
            isComplete: this.#isComplete && replica.isFilled,
        };
    }
}
