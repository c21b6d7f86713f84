import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import type { PlacementRequest } from "./placement_request.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";

const HINT_LIFETIME_MILLISECONDS = 2_000;
const QUEUE_COST = 1;
const OTHER_DOMAIN_COST = 0.15;
const AVOIDED_COST = 100;
const AFFINITY_GAIN = 0.5;
const RANDOM_COST = 0.1;

/**
 * Prefers servers with free capacity, then the failure domain that is near, then the prefix cache.
 *
 * The prefix cache counts only at a server where nothing waits, so that it never adds to a queue.
 *
 * @example
 * ```ts
 * const policy = new TodayPolicy();
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
        const known = this.#affinity.find(request.model, request.prompt);
        return candidates
            .map(candidate => ({ candidate, cost: costOf(candidate, request, now, known?.server) }))
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
    cachedAt: string | undefined,
): number {
    let cost = Math.random() * RANDOM_COST;
    if (server.failureDomain !== request.failureDomain) {
        cost += OTHER_DOMAIN_COST;
    }
    if (hint && hint.avoidUntil > now) {
        cost += AVOIDED_COST;
    }
    const fresh = hint && now - hint.at < HINT_LIFETIME_MILLISECONDS ? hint : undefined;
    const used = fresh ? 1 - fresh.free / server.capacity : 0.5;
    cost += used + QUEUE_COST * (fresh?.waiting ?? 0) / server.capacity;
    const idle = (fresh?.waiting ?? 0) === 0;
    if (name === cachedAt && idle) {
        cost -= AFFINITY_GAIN;
    }
    return cost;
}
