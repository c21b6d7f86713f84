import { err, ok, type Result } from "neverthrow";
import type { OrganisationProfile } from "../directory/mod.ts";
import { SlidingWindowCounter } from "./_sliding_window_counter.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { RateLimitCharge } from "./rate_limit_charge.ts";
import type { RateLimiterOptions } from "./rate_limiter_options.ts";
import type { SpendingReport } from "./spending_report.ts";

/** Age in milliseconds above which a peer's report no longer tells what it spends. */
const SILENT_MILLISECONDS = 1_500;
/** Parts of the permitted excess that are used; the rest covers what peers spend until their reports arrive. */
const USED_EXCESS_SHARE = 0.7;
const USED_SLACK_SHARE = 0.7;
/** Time in milliseconds over which it is measured what organisations ask for. */
const ASKED_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const RETRY_MILLISECONDS = 1_000;

/** What a live process has last reported. */
interface PeerSpending {
    incarnation: string;
    spending: Record<string, number>;
    asked: Record<string, number>;
    assumedShare: number;
    at: number;
}

/** What a process that has ended had last reported. */
interface EndedSpending {
    instance: string;
    spending: Record<string, number>;
    at: number;
}

/**
 * Keeps organisations within their limits over all instances together. Each instance counts what its peers report; a
 * peer that is silent is taken to spend its equal share at least, so that parts of a fleet that do not hear each other
 * spend no more than the whole may. What a process had spent counts until it has left the window, also when the process
 * has ended: its peers remember it and tell those that started since.
 *
 * @example
 * ```ts
 * const limiter = new TokenLimiter(options);
 * const charge = limiter.charge(request);
 * charge.map(({ refund }) => refund()); // if no server has run the request
 * ```
 */
export class RateLimiter {
    readonly #windows = new Map<string, SlidingWindowCounter>();
    readonly #asked = new Map<string, SlidingWindowCounter>();
    readonly #peers = new Map<string, PeerSpending>();
    readonly #ended = new Map<string, EndedSpending>();
    readonly #startedAt: number;

    /**
     * @param options What the limiter works with.
     */
    constructor(private readonly options: RateLimiterOptions) {
        this.#startedAt = options.clock.now();
    }

    /**
     * Describes what was spent in the window, for peers.
     *
     * @returns This process's spending, and what it remembers of processes that have ended.
     */
    report(): SpendingReport {
        const now = this.options.clock.now();
        this.#forget(now);
        const spending = sumsOf(this.#windows, now);
        const asked = sumsOf(this.#asked, now);
        const ended: SpendingReport["ended"] = {};
        for (const [process, { spending: spent, at }] of this.#ended) {
            ended[process] = [Math.round(now - at), spent];
        }
        return { spending, asked, assumedShare: Number(this.#assumedShare(now).toFixed(2)), ended };
    }

    /**
     * Notes what a peer has reported.
     *
     * @param name Name of the peer.
     * @param incarnation Start of its process.
     * @param report What it said.
     */
    recordPeerReport(name: string, incarnation: string, report: SpendingReport): void {
        const now = this.options.clock.now();
        const former = this.#peers.get(name);
        const { spending, asked, assumedShare } = report;
        this.#peers.set(name, { incarnation, spending, asked, assumedShare, at: now });
        this.#ended.delete(`${name}/${incarnation}`);
        if (former && former.incarnation !== incarnation) {
            this.#noteEnded(name, former.incarnation, former.spending, former.at);
        }
        for (const [process, [age, spent]] of Object.entries(report.ended)) {
            const separator = process.lastIndexOf("/");
            this.#noteEnded(process.slice(0, separator), process.slice(separator + 1), spent, now - age);
        }
    }

    /**
     * Charges a request to its organisation.
     *
     * @param request The request.
     * @returns The charge, or the refusal if the request is beyond the limit.
     */
    charge(request: GatewayRequest): Result<RateLimitCharge, GatewayRefusal> {
        const { organisation } = request;
        if (!organisation || organisation.ratePerSecond <= 0) {
            return ok({ refund: () => {} });
        }
        const now = this.options.clock.now();
        const cost = costOf(organisation, request);
        const { excess, slack, windowMilliseconds } = this.options;
        const window = windowOf(this.#windows, organisation.name, windowMilliseconds);
        windowOf(this.#asked, organisation.name, ASKED_MILLISECONDS).add(cost, now);
        const limit = organisation.ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND + organisation.burst;
        const allowed = limit * (1 + excess * USED_EXCESS_SHARE) + slack * USED_SLACK_SHARE;
        const spent = window.sum(now) + this.#spentByOthers(organisation.name, limit, now);
        if (spent + cost > allowed) {
            return err({
                status: 429,
                reason: "over-limit",
                verdict: "not-run",
                message: `Organisation ${organisation.name} is over its limit: ${Math.round(spent)} of ${
                    Math.round(allowed)
                }`,
                retryAfterMilliseconds: RETRY_MILLISECONDS,
            });
        }
        return ok({ refund: window.add(cost, now) });
    }

    /** What peers spent in the window, and processes that have ended, a former one at this place included. */
    #spentByOthers(organisation: string, limit: number, now: number): number {
        this.#forget(now);
        const share = limit / this.options.instanceCount();
        const remembered = new Set<string>();
        let spent = 0;
        for (const { instance, spending } of this.#ended.values()) {
            remembered.add(instance);
            spent += spending[organisation] ?? 0;
        }
        const silent: number[] = [];
        let heard = 0;
        for (const [name, { spending, asked, assumedShare, at }] of this.#peers) {
            const reported = spending[organisation] ?? 0;
            if (now - at > SILENT_MILLISECONDS) {
                silent.push(reported);
                continue;
            }
            heard++;
            // Since its report the peer may have admitted all that it was asked for.
            const since = (asked[organisation] ?? 0) * (now - at) / ASKED_MILLISECONDS;
            spent += reported + since + (remembered.has(name) ? 0 : share * assumedShare);
        }
        const unheard = Math.max(0, this.options.instanceCount() - 1 - heard);
        // Peers that are neither heard nor expected have ended; what they had spent still counts.
        silent.sort((left, right) => right - left);
        for (let index = 0; index < Math.max(unheard, silent.length); index++) {
            spent += Math.max(silent[index] ?? 0, index < unheard ? share : 0);
        }
        return spent + share * this.#assumedShare(now);
    }

    /**
     * Part of an equal share that a former process at this place is taken to have spent; none once a peer has told, or if
     * the fleet starts for the first time.
     */
    #assumedShare(now: number): number {
        const { self, firstStart, windowMilliseconds } = this.options;
        const told = [...this.#ended.values()].some(({ instance }) => instance === self.name);
        return firstStart || told ? 0 : Math.max(0, 1 - (now - this.#startedAt) / windowMilliseconds);
    }

    #noteEnded(instance: string, incarnation: string, spending: Record<string, number>, at: number): void {
        const { self } = this.options;
        const process = `${instance}/${incarnation}`;
        const alive = instance === self.name
            ? incarnation === self.incarnation
            : this.#peers.get(instance)?.incarnation === incarnation;
        const known = this.#ended.get(process);
        if (alive) {
            return;
        }
        if (!known) {
            this.#ended.set(process, { instance, spending: { ...spending }, at });
            return;
        }
        // Peers that tell each other of it must not make it younger.
        for (const [organisation, spent] of Object.entries(spending)) {
            known.spending[organisation] = Math.max(known.spending[organisation] ?? 0, spent);
        }
    }

    #forget(now: number): void {
        const oldest = now - this.options.windowMilliseconds;
        for (const map of [this.#peers, this.#ended]) {
            for (const [key, { at }] of map) {
                if (at < oldest) {
                    map.delete(key);
                }
            }
        }
    }
}

function windowOf(
    windows: Map<string, SlidingWindowCounter>,
    organisation: string,
    milliseconds: number,
): SlidingWindowCounter {
    const window = windows.get(organisation) ?? new SlidingWindowCounter(milliseconds);
    windows.set(organisation, window);
    return window;
}

function sumsOf(windows: Map<string, SlidingWindowCounter>, now: number): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const [organisation, window] of windows) {
        const sum = window.sum(now);
        if (sum > 0) {
            sums[organisation] = Math.round(sum);
        }
    }
    return sums;
}

function costOf(organisation: OrganisationProfile, request: GatewayRequest): number {
    if (!organisation.countsTokens) {
        return 1;
    }
    const tokens = request.promptTokens + request.outputTokens;
    return tokens > 0 ? tokens : organisation.defaultRequestTokens;
}
