import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { PeerServerLoad } from "./peer_server_load.ts";

/** Weight of the newest observation in moving averages. */
const AVERAGE_WEIGHT = 0.15;
/** Time in milliseconds after which an average tells nothing about a server any more. */
const AVERAGE_LIFETIME_MILLISECONDS = 3_000;
/** Time in milliseconds in which outcomes of requests lose half of their weight. */
const OUTCOME_HALF_LIFE_MILLISECONDS = 2_000;
/** Successes that a server is credited with, so that a single failure does not condemn it. */
const CREDITED_SUCCESSES = 2;
/** Age in milliseconds above which a peer's report is no longer counted. */
const PEER_REPORT_MILLISECONDS = 1_500;
const MAXIMUM_SENT_TIMES = 64;

/** Load and health of one backend server as far as this instance knows. */
export class ServerLoad {
    /** Requests of this instance under way. */
    active = 0;
    /** Tokens of engine memory that this instance's requests hold. */
    reservedTokens = 0;
    /** Prompt tokens that this instance has sent for prefill and that are not done. */
    prefillTokens = 0;
    /** Monotonic time until which the server is not chosen. */
    avoidedUntil = 0;
    #averageMilliseconds: number | undefined;
    #averagedAt = 0;
    #failures = 0;
    #successes = 0;
    #outcomesAt = 0;
    #sentAt: number[] = [];
    readonly #peers = new Map<string, { load: PeerServerLoad; at: number; }>();
    /** Sum of the peers' loads, kept until one of them changes or becomes too old. */
    #peerSum: PeerServerLoad | undefined;
    #peerSumUntil = 0;

    /** Moving average of the time of an answer in milliseconds; undefined when there was none lately. */
    get averageResponseMilliseconds(): number | undefined {
        const old = monotonicMilliseconds() - this.#averagedAt > AVERAGE_LIFETIME_MILLISECONDS;
        return old ? undefined : this.#averageMilliseconds;
    }

    /** Failures and successes that this instance has seen lately, weighted by age. */
    get outcomes(): { failures: number; successes: number; } {
        const weight = 0.5 ** ((monotonicMilliseconds() - this.#outcomesAt) / OUTCOME_HALF_LIFE_MILLISECONDS);
        return { failures: this.#failures * weight, successes: this.#successes * weight };
    }

    /** Part of the recent requests of all instances that failed at the server. */
    get failureRate(): number {
        const { failures, successes } = this.total();
        return failures / (failures + successes + CREDITED_SUCCESSES);
    }

    /**
     * Sums what all instances have under way.
     *
     * @param freshness Part of the peers' requests and prefills that counts, since those may have ended. Default: 1.
     * @returns The sums.
     */
    total(freshness = 1): PeerServerLoad {
        const peers = this.#sumOfPeers();
        const { failures, successes } = this.outcomes;
        return {
            active: peers.active * freshness + this.active,
            reservedTokens: peers.reservedTokens + this.reservedTokens,
            prefillTokens: peers.prefillTokens * freshness + this.prefillTokens,
            failures: peers.failures + failures,
            successes: peers.successes + successes,
        };
    }

    /**
     * Notes what a peer has under way at the server.
     *
     * @param peer Name of the peer.
     * @param load What it has.
     */
    setPeerLoad(peer: string, load: PeerServerLoad): void {
        this.#peers.set(peer, { load, at: monotonicMilliseconds() });
        this.#peerSum = undefined;
    }

    /**
     * Forgets a peer that has nothing under way at the server.
     *
     * @param peer Name of the peer.
     */
    removePeerLoad(peer: string): void {
        if (this.#peers.delete(peer)) {
            this.#peerSum = undefined;
        }
    }

    /** Notes that a request was sent. */
    recordSend(): void {
        this.#sentAt.push(monotonicMilliseconds());
        if (this.#sentAt.length > MAXIMUM_SENT_TIMES) {
            this.#sentAt.shift();
        }
    }

    /**
     * Counts the requests sent since a time, up to a bounded number.
     *
     * @param time Monotonic time in milliseconds.
     * @returns The number.
     */
    countSendsSince(time: number): number {
        return this.#sentAt.reduce((count, at) => at > time ? count + 1 : count, 0);
    }

    /**
     * Notes the time of a good answer.
     *
     * @param milliseconds Time that it took.
     */
    recordResponseTime(milliseconds: number): void {
        const average = this.averageResponseMilliseconds;
        this.#averageMilliseconds = average === undefined
            ? milliseconds
            : average + AVERAGE_WEIGHT * (milliseconds - average);
        this.#averagedAt = monotonicMilliseconds();
    }

    /** Forgets the failures of a former start of the server. */
    reset(): void {
        this.avoidedUntil = 0;
        this.#failures = 0;
    }

    /** Notes that a request ended well. */
    recordSuccess(): void {
        this.#noteOutcome(0, 1);
    }

    /** Notes a failure. */
    recordFailure(): void {
        this.#noteOutcome(1, 0);
    }

    #sumOfPeers(): PeerServerLoad {
        const now = monotonicMilliseconds();
        if (this.#peerSum && now < this.#peerSumUntil) {
            return this.#peerSum;
        }
        const sum = { active: 0, reservedTokens: 0, prefillTokens: 0, failures: 0, successes: 0 };
        this.#peerSumUntil = Number.POSITIVE_INFINITY;
        for (const [peer, { load, at }] of this.#peers) {
            const until = at + PEER_REPORT_MILLISECONDS;
            if (until <= now) {
                this.#peers.delete(peer);
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

    #noteOutcome(failures: number, successes: number): void {
        const before = this.outcomes;
        this.#failures = before.failures + failures;
        this.#successes = before.successes + successes;
        this.#outcomesAt = monotonicMilliseconds();
    }
}
