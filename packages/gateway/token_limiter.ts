import type { OrganisationProfile } from "../directory/mod.ts";
import { SpendingWindow } from "./_spending_window.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { TokenLimiterOptions } from "./token_limiter_options.ts";

/** Age in milliseconds above which a peer's report no longer tells what it spends. */
const SILENT_MILLISECONDS = 1_500;
/** Parts of the permitted excess that are used; the rest covers what peers spend until their reports arrive. */
const USED_EXCESS_SHARE = 0.5;
const USED_SLACK_SHARE = 0.55;
/** Part of an equal share that a former process at this place is taken to have spent in the window before its end. */
const FORMER_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;
const RETRY_MILLISECONDS = 1_000;

/** What a peer has said that it spent. */
interface PeerSpending {
    byOrganisation: Record<string, number>;
    at: number;
}

/**
 * Keeps organisations within their limits over all instances together. Each instance counts what its peers report; a
 * peer that is silent is taken to spend its equal share, so that parts of a fleet that do not hear each other spend no
 * more than the whole may.
 *
 * @example
 * ```ts
 * const limiter = new TokenLimiter(options);
 * const refusal = limiter.charge(request);
 * ```
 */
export class TokenLimiter {
    readonly #windows = new Map<string, SpendingWindow>();
    readonly #peers = new Map<string, PeerSpending>();
    readonly #startedAt: number;

    /**
     * @param options What the limiter works with.
     */
    constructor(private readonly options: TokenLimiterOptions) {
        this.#startedAt = options.clock.now();
    }

    /**
     * Returns what this instance has spent in the window.
     *
     * @returns Units by organisation.
     */
    spending(): Record<string, number> {
        const now = this.options.clock.now();
        const spent: Record<string, number> = {};
        for (const [organisation, window] of this.#windows) {
            const sum = window.sum(now);
            if (sum > 0) {
                spent[organisation] = Math.round(sum);
            }
        }
        return spent;
    }

    /**
     * Notes what a peer has spent in its window.
     *
     * @param peer Name and incarnation of the peer.
     * @param byOrganisation Units by organisation.
     */
    notePeer(peer: string, byOrganisation: Record<string, number>): void {
        this.#peers.set(peer, { byOrganisation, at: this.options.clock.now() });
    }

    /**
     * Charges a request to its organisation.
     *
     * @param request The request.
     * @returns The refusal, or undefined if the request is within the limit.
     */
    charge(request: GatewayRequest): GatewayRefusal | undefined {
        const { organisation } = request;
        if (!organisation || organisation.ratePerSecond <= 0) {
            return undefined;
        }
        const now = this.options.clock.now();
        const cost = costOf(organisation, request);
        const window = this.#windowOf(organisation.name);
        const { excess, slack, windowMilliseconds } = this.options;
        const limit = organisation.ratePerSecond * windowMilliseconds / MILLISECONDS_PER_SECOND + organisation.burst;
        const allowed = limit * (1 + excess * USED_EXCESS_SHARE) + slack * USED_SLACK_SHARE;
        const spent = window.sum(now) + this.#spentByPeers(organisation.name, limit, now);
        if (spent + cost > allowed) {
            return {
                status: 429,
                reason: "over-limit",
                verdict: "not-run",
                message: `Organisation ${organisation.name} is over its limit: ${Math.round(spent)} of ${
                    Math.round(allowed)
                }`,
                retryAfterMilliseconds: RETRY_MILLISECONDS,
            };
        }
        window.add(cost, now);
        return undefined;
    }

    #spentByPeers(organisation: string, limit: number, now: number): number {
        const share = limit / this.options.instanceCount();
        let heard = 0;
        let spent = 0;
        for (const [peer, { byOrganisation, at }] of this.#peers) {
            const age = now - at;
            if (age > this.options.windowMilliseconds) {
                this.#peers.delete(peer);
                continue;
            }
            const reported = byOrganisation[organisation] ?? 0;
            if (age <= SILENT_MILLISECONDS) {
                heard++;
                spent += reported;
            }
            else {
                spent += reported * (1 - age / this.options.windowMilliseconds);
            }
        }
        const silent = Math.max(0, this.options.instanceCount() - 1 - heard);
        // What a former process at this place spent in the window is not known.
        const age = (now - this.#startedAt) / this.options.windowMilliseconds;
        const own = this.options.firstStart ? 0 : share * FORMER_SHARE * Math.max(0, 1 - age);
        return spent + silent * share + own;
    }

    #windowOf(organisation: string): SpendingWindow {
        let window = this.#windows.get(organisation);
        if (!window) {
            window = new SpendingWindow(this.options.windowMilliseconds);
            this.#windows.set(organisation, window);
        }
        return window;
    }
}

function costOf(organisation: OrganisationProfile, request: GatewayRequest): number {
    if (!organisation.countsTokens) {
        return 1;
    }
    const tokens = request.promptTokens + request.outputTokens;
    return tokens > 0 ? tokens : organisation.plainTokens;
}
