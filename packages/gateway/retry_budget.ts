import { monotonicMilliseconds } from "../clocks/mod.ts";

/** Buckets that a window is divided into. */
const BUCKETS = 10;

/** Requests and retries of one service in one bucket of the window. */
interface Bucket {
    startedAt: number;
    requests: number;
    retries: number;
}

/**
 * Limits the retries to each service to this instance's share of a limit that all instances have together. Each send of
 * a request after its first counts as a retry.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget(() => ({ ratio: 0.2, slack: 50, windowMilliseconds: 10_000 }), () => 3);
 * budget.recordRequest("orders");
 * budget.trySpend("orders"); // true
 * ```
 */
export class RetryBudget {
    readonly #buckets = new Map<string, Bucket[]>();

    /**
     * @param limit Returns the retries per request, the retries allowed in addition, and the window for both.
     * @param instanceCount Returns the number of instances that share the limit.
     */
    constructor(
        private readonly limit: () => { ratio: number; slack: number; windowMilliseconds: number; },
        private readonly instanceCount: () => number,
    ) {}

    /**
     * Records a new request to a service.
     *
     * @param service Name of the service.
     * @returns A function that takes the request back, since another instance counts it.
     */
    recordRequest(service: string): () => void {
        const bucket = this.#currentBucket(service);
        bucket.requests++;
        return () => {
            bucket.requests--;
        };
    }

    /**
     * Returns whether the budget allows a retry now.
     *
     * @param service Name of the service.
     * @returns Whether {@linkcode trySpend} would succeed.
     */
    canSpend(service: string): boolean {
        this.#currentBucket(service);
        let requests = 0;
        let retries = 0;
        for (const bucket of this.#buckets.get(service) ?? []) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
        const { ratio, slack } = this.limit();
        return retries + 1 <= ratio * requests + slack / this.instanceCount();
    }

    /**
     * Spends one retry if the budget allows it.
     *
     * @param service Name of the service.
     * @param isOwed Whether the retry is made even without a budget; later ones then wait for it. Default: false.
     * @returns Whether the retry is allowed.
     */
    trySpend(service: string, isOwed = false): boolean {
        if (!isOwed && !this.canSpend(service)) {
            return false;
        }
        this.#currentBucket(service).retries++;
        return true;
    }

    #currentBucket(service: string): Bucket {
        const now = monotonicMilliseconds();
        const { windowMilliseconds } = this.limit();
        const bucketMilliseconds = windowMilliseconds / BUCKETS;
        const buckets = this.#buckets.get(service) ?? [];
        this.#buckets.set(service, buckets);
        while (buckets[0] && now - buckets[0].startedAt > windowMilliseconds) {
            buckets.shift();
        }
        let current = buckets.at(-1);
        if (!current || now - current.startedAt >= bucketMilliseconds) {
            current = { startedAt: now, requests: 0, retries: 0 };
            buckets.push(current);
        }
        return current;
    }
}
