import { monotonicMilliseconds } from "../clocks/mod.ts";

/** Steps in which a window is counted. */
const STEPS = 10;

/** Counts of one service in one step of the window. */
interface Step {
    startedAt: number;
    requests: number;
    retries: number;
}

/**
 * Bounds what is sent to a service beyond the first time of each request, as this instance's share of a limit on all
 * instances together.
 *
 * @example
 * ```ts
 * const allowance = new RetryAllowance(() => ({ ratio: 0.2, slack: 50, windowMilliseconds: 10_000 }), () => 3);
 * allowance.noteRequest("orders");
 * allowance.take("orders"); // true
 * ```
 */
export class RetryBudget {
    readonly #steps = new Map<string, Step[]>();

    /**
     * @param limit Returns the retries for each request, the retries besides, and the window in which both are counted.
     * @param instanceCount Returns the number of instances that share the limit.
     */
    constructor(
        private readonly limit: () => { ratio: number; slack: number; windowMilliseconds: number; },
        private readonly instanceCount: () => number,
    ) {}

    /**
     * Notes a new request to a service.
     *
     * @param service Name of the service.
     */
    recordRequest(service: string): void {
        this.#current(service).requests++;
    }

    /**
     * Takes one retry.
     *
     * @param service Name of the service.
     * @returns Whether it is allowed.
     */
    trySpend(service: string): boolean {
        const current = this.#current(service);
        const steps = this.#steps.get(service) ?? [];
        let requests = 0;
        let retries = 0;
        for (const step of steps) {
            requests += step.requests;
            retries += step.retries;
        }
        const { ratio, slack } = this.limit();
        const allowed = ratio * requests + slack / this.instanceCount();
        if (retries + 1 > allowed) {
            return false;
        }
        current.retries++;
        return true;
    }

    #current(service: string): Step {
        const now = monotonicMilliseconds();
        const { windowMilliseconds } = this.limit();
        const length = windowMilliseconds / STEPS;
        const steps = this.#steps.get(service) ?? [];
        this.#steps.set(service, steps);
        while (steps[0] && now - steps[0].startedAt > windowMilliseconds) {
            steps.shift();
        }
        let current = steps.at(-1);
        if (!current || now - current.startedAt >= length) {
            current = { startedAt: now, requests: 0, retries: 0 };
            steps.push(current);
        }
        return current;
    }
}
