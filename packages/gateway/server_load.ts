import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { PeerServerLoad } from "./peer_server_load.ts";

/** Weight of the newest observation in moving averages. */
const AVERAGE_WEIGHT = 0.15;
/** Time in milliseconds after which an average that was not updated is no longer used. */
const AVERAGE_LIFETIME_MILLISECONDS = 3_000;
/** Time in milliseconds in which the outcome of a request loses half of its weight. */
const OUTCOME_HALF_LIFE_MILLISECONDS = 2_000;
/** Successes added to the count of each server, so that a single failure has little effect. */
const CREDITED_SUCCESSES = 2;
/** Age in milliseconds above which a peer's report is no longer counted. */
const PEER_REPORT_LIFETIME_MILLISECONDS = 1_500;
/** Time in milliseconds for which the time of a send is kept. */
const SEND_TIME_LIFETIME_MILLISECONDS = 1_000;

/** Load and health of one backend server, including what peers report of it. */
export class ServerLoad {
    /** Requests of this instance in progress. */
    active = 0;
    /** KV cache memory in tokens that this instance's requests have reserved. */
    reservedTokens = 0;
    /** Prompt tokens of this instance's unfinished prefills. */
    prefillTokens = 0;
    /** Monotonic time in milliseconds until which the server is not chosen. */
    avoidedUntil = 0;
    /** Speed of an engine as a factor of the median; 1 unless it is known to differ notably. */
    speedFactor = 1;
    #averageResponseMilliseconds: number | undefined;
    #averageUpdatedAt = 0;
    #failures = 0;
    #successes = 0;
    #outcomesUpdatedAt = 0;
    #sentAt: number[] = [];
    readonly #peerLoads = new Map<string, { load: PeerServerLoad; at: number; }>();
    /** Sum of the peers' loads, kept until one of them changes or becomes too old. */
    #peerSum: PeerServerLoad | undefined;
    #peerSumUntil = 0;

    /** Moving average of the response time in milliseconds; undefined without a recent response. */
    get averageResponseMilliseconds(): number | undefined {
        const old = monotonicMilliseconds() - this.#averageUpdatedAt > AVERAGE_LIFETIME_MILLISECONDS;
        return old ? undefined : this.#averageResponseMilliseconds;
    }

    /** Recent failures and successes of this instance's requests, weighted by age. */
    get outcomes(): { failures: number; successes: number; } {
        const weight = 0.5 ** ((monotonicMilliseconds() - this.#outcomesUpdatedAt) / OUTCOME_HALF_LIFE_MILLISECONDS);
        return { failures: this.#failures * weight, successes: this.#successes * weight };
    }

    /** Fraction of the recent requests of all instances that failed at the server. */
    get failureRate(): number {
        const { failures, successes } = this.total();
        return failures / (failures + successes + CREDITED_SUCCESSES);
    }

    /**
     * Returns the load from all instances together.
     *
     * @param peerWeight Factor from 0 to 1 for the peers' requests and prefills, which may have ended. Default: 1.
     * @returns The sums.
     */
    total(peerWeight = 1): PeerServerLoad {
        const peers = this.#sumOfPeers();
        const { failures, successes } = this.outcomes;
        return {
            active: peers.active * peerWeight + this.active,
            reservedTokens: peers.reservedTokens + this.reservedTokens,
            prefillTokens: peers.prefillTokens * peerWeight + this.prefillTokens,
            failures: peers.failures + failures,
            successes: peers.successes + successes,
        };
    }

    /**
     * Sets the load that a peer causes at the server.
     *
     * @param peer Name of the peer.
     * @param load The load.
     */
    setPeerLoad(peer: string, load: PeerServerLoad): void {
        this.#peerLoads.set(peer, { load, at: monotonicMilliseconds() });
        this.#peerSum = undefined;
    }

    /**
     * Removes a peer that causes no load at the server.
     *
     * @param peer Name of the peer.
     */
    removePeerLoad(peer: string): void {
        if (this.#peerLoads.delete(peer)) {
            this.#peerSum = undefined;
        }
    }

    /** Records that a request was sent. */
    recordSend(): void {
        const now = monotonicMilliseconds();
        this.#sentAt.push(now);
        while ((this.#sentAt[0] ?? now) < now - SEND_TIME_LIFETIME_MILLISECONDS) {
            this.#sentAt.shift();
        }
    }

    /**
     * Counts the requests sent since a time.
     *
     * @param time Monotonic time in milliseconds, at most one second ago.
     * @returns The number of requests.
     */
    countSendsSince(time: number): number {
        return this.#sentAt.reduce((count, at) => at > time ? count + 1 : count, 0);
    }

    /**
     * Records the response time of a successful request.
     *
     * @param milliseconds The response time.
     */
    recordResponseTime(milliseconds: number): void {
        const average = this.averageResponseMilliseconds;
        this.#averageResponseMilliseconds = average === undefined
            ? milliseconds
            : average + AVERAGE_WEIGHT * (milliseconds - average);
        this.#averageUpdatedAt = monotonicMilliseconds();
    }

    /** Clears the failures and the avoidance, such as those of an earlier process of the server. */
    reset(): void {
        this.avoidedUntil = 0;
        this.#failures = 0;
    }

    /** Records a successful request. */
    recordSuccess(): void {
        this.#recordOutcome(0, 1);
    }

    /** Records a failed request. */
    recordFailure(): void {
        this.#recordOutcome(1, 0);
    }

    #sumOfPeers(): PeerServerLoad {
        const now = monotonicMilliseconds();
        if (this.#peerSum && now < this.#peerSumUntil) {
            return this.#peerSum;
        }
        const sum = { active: 0, reservedTokens: 0, prefillTokens: 0, failures: 0, successes: 0 };
        this.#peerSumUntil = Number.POSITIVE_INFINITY;
        for (const [peer, { load, at }] of this.#peerLoads) {
            const until = at + PEER_REPORT_LIFETIME_MILLISECONDS;
            if (until <= now) {
                this.#peerLoads.delete(peer);
                continue;
            }
            this.#peerSumUntil = Math.min(this.#peerSumUntil, until);
            sum.active += load.active;
            sum.reservedTokens += load.reservedTokens;
            sum.prefillTokens += load.prefillTokens;
            sum.failures += load.failures;
            sum.successes += load.successes;
        }
        this.#peerSum = sum;
        return sum;
    }

    #recordOutcome(failures: number, successes: number): void {
        const before = this.outcomes;
        this.#failures = before.failures + failures;
        this.#successes = before.successes + successes;
        this.#outcomesUpdatedAt = monotonicMilliseconds();
    }
}
