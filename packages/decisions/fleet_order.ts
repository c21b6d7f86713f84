import type { FleetDemand } from "./fleet_demand.ts";
import type { MemoryOrder } from "./memory_order.ts";
import type { MemoryRoom } from "./memory_room.ts";
import type { UrgencyDemand } from "./urgency_demand.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Fraction of the share of all requests that are served, below which an urgency counts as starved. Callers need each
 * kind of request to be served at least a quarter as often as all.
 */
const STARVED_FRACTION = 0.4;

/**
 * One order by urgency over all instances: head-of-the-line priorities (L. Kleinrock, Queueing Systems, volume 2, 1976,
 * chapter 3). While room is short, a request yields to more urgent ones that wait at other instances. An urgency that is
 * starved goes beside the most urgent one and yields to none until it is served again.
 *
 * @example
 * ```ts
 * const order = new FleetOrder(demand);
 * const mustWait = order.mustYield(request, () => ({ share: 1, places: () => 2 }), now);
 * ```
 */
export class FleetOrder implements MemoryOrder {
    #starved: { service: string; at: number; urgencies: ReadonlySet<number>; } = {
        service: "",
        at: Number.NEGATIVE_INFINITY,
        urgencies: new Set(),
    };

    /**
     * @param demand Demand at all instances.
     */
    constructor(private readonly demand: FleetDemand) {}

    /**
     * Returns the urgency by which a request is sorted.
     *
     * @param request The request.
     * @param now Monotonic time in milliseconds.
     * @returns Its urgency; that of the most urgent requests if its own is starved.
     */
    urgencyOf(request: WaitingRequest, now: number): number {
        return this.#isStarved(request, now)
            ? request.urgency - Math.floor(request.urgency) + this.#mostUrgent(request, now)
            : request.urgency;
    }

    /**
     * Returns whether a request leaves the room to more urgent ones of other instances.
     *
     * @param request The request.
     * @param room Returns the free memory of the engines that this instance prefers.
     * @param now Monotonic time in milliseconds.
     * @returns Whether it does; false for one whose answer has begun.
     */
    mustYield(request: WaitingRequest, room: () => MemoryRoom, now: number): boolean {
        // A share of 1 counts the most that may be waiting, so that the room need not be computed without demand.
        if (request.answerBegun || !this.#urgentDemand(request, 1, now) || this.#isStarved(request, now)) {
            return false;
        }
        const { share, places } = room();
        const urgent = this.#urgentDemand(request, share, now);
        if (!urgent) {
            return false;
        }
        const size = Math.max(request.tokens, urgent.tokens / urgent.waiting);
        return places(size) < 1 + Math.round(urgent.waiting);
    }

    /** More urgent requests that wait at other instances; undefined if there are none. */
    #urgentDemand(
        { service, urgency }: WaitingRequest,
        share: number,
        now: number,
    ): { waiting: number; tokens: number; } | undefined {
        let waiting = 0;
        let tokens = 0;
        for (const demand of this.demand.ofOthers(service, share, now)) {
            if (demand.urgency < urgency) {
                waiting += demand.waiting;
                tokens += demand.waitingTokens;
            }
        }
        return waiting > 0 ? { waiting, tokens } : undefined;
    }

    #mostUrgent({ service, urgency }: WaitingRequest, now: number): number {
        const urgencies = this.demand.total(service, now).map(demand => Math.floor(demand.urgency));
        return Math.min(Math.floor(urgency), ...urgencies);
    }

    #isStarved({ service, urgency }: WaitingRequest, now: number): boolean {
        if (this.#starved.service !== service || this.#starved.at !== now) {
            const urgencies = listStarved(this.demand.total(service, now));
            this.#starved = { service, at: now, urgencies };
        }
        return this.#starved.urgencies.has(Math.floor(urgency));
    }
}

function listStarved(demands: UrgencyDemand[]): ReadonlySet<number> {
    const granted = demands.reduce((sum, demand) => sum + demand.grantedRate, 0);
    const refused = demands.reduce((sum, demand) => sum + demand.refusedRate, 0);
    const lowest = STARVED_FRACTION * servedFraction(granted, refused);
    const starved = new Set<number>();
    for (const urgency of new Set(demands.map(demand => Math.floor(demand.urgency)))) {
        // With the requests beyond their organisations' shares.
        const own = demands.filter(demand => Math.floor(demand.urgency) === urgency);
        const ownGranted = own.reduce((sum, demand) => sum + demand.grantedRate, 0);
        const ownRefused = own.reduce((sum, demand) => sum + demand.refusedRate, 0);
        if (servedFraction(ownGranted, ownRefused) < lowest) {
            starved.add(urgency);
        }
    }
    return starved;
}

function servedFraction(grantedRate: number, refusedRate: number): number {
    const decided = grantedRate + refusedRate;
    return decided > 0 ? grantedRate / decided : 1;
}
