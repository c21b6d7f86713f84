import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import type { PlacementRequest } from "./placement_request.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";

const HINT_LIFETIME_MILLISECONDS = 2_000;
/** Cost of a queue as long as the server's capacity; the same as that of a fully used server. */
const QUEUE_COST = 1;
const OTHER_DOMAIN_COST = 0.15;
const AVOIDED_COST = 100;
/** Reduction of the cost of the server whose cache holds the prefix. */
const AFFINITY_DISCOUNT = 0.5;
/** Upper bound of the random cost, which spreads requests over servers of similar cost. */
const MAXIMUM_RANDOM_COST = 0.1;

/**
 * Orders servers by a cost made up of load, distance and prefix cache: servers with free capacity, in the preferred
 * failure domain or with the prompt's prefix in their cache come first.
 *
 * A cached prefix reduces the cost only of a server with an empty queue, so that affinity never lengthens a queue.
 *
 * @example
 * ```ts
 * const policy = new LowestCostPolicy();
 * const [best] = policy.order(candidates, request);
 * ```
 */
export class LowestCostPolicy implements PlacementPolicy {
    readonly reservesCapacity = true;
    readonly needsLoadReports = false;
    readonly #affinity = new PrefixAffinity();

    /** @inheritdoc */
    order(candidates: Candidate[], request: PlacementRequest): Candidate[] {
        const now = monotonicMilliseconds();
        const prefix = this.#affinity.find(request.model, request.prompt);
        return candidates
            .map(candidate => ({ candidate, cost: costOf(candidate, request, now, prefix?.server) }))
            .sort((left, right) => left.cost - right.cost)
            .map(({ candidate }) => candidate);
    }

    /** @inheritdoc */
    recordPrefill(server: string, request: PlacementRequest): void {
        this.#affinity.recordPrefix(request.model, request.prompt, server);
    }
}

function costOf(
    { name, server, hint }: Candidate,
    request: PlacementRequest,
    now: number,
    serverWithPrefix: string | undefined,
): number {
    let cost = Math.random() * MAXIMUM_RANDOM_COST;
    if (server.failureDomain !== request.failureDomain) {
        cost += OTHER_DOMAIN_COST;
    }
    if (hint && hint.avoidUntil > now) {
        cost += AVOIDED_COST;
    }
    const recent = hint && now - hint.at < HINT_LIFETIME_MILLISECONDS ? hint : undefined;
    const usedFraction = recent ? 1 - recent.free / server.capacity : 0.5;
    cost += usedFraction + QUEUE_COST * (recent?.waiting ?? 0) / server.capacity;
    const queueEmpty = (recent?.waiting ?? 0) === 0;
    if (name === serverWithPrefix && queueEmpty) {
        cost -= AFFINITY_DISCOUNT;
    }
    return cost;
}
