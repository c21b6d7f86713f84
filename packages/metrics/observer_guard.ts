import { logFailure, type Logger } from "../logs/mod.ts";
import type { Metrics } from "./metrics.ts";

/** Causes that are remembered; failures of further ones are only counted. */
const MAXIMUM_CAUSES = 100;

/**
 * Runs what only observes a process, such as gauges and watches, so that its failure neither ends nor interrupts what it
 * observes. Failures are counted, and logged once for each cause.
 *
 * @example
 * ```ts
 * const guard = new ObserverGuard(metrics, logger);
 * const residentBytes = guard.run("resident_memory", () => process.memoryUsage.rss());
 * ```
 */
export class ObserverGuard {
    readonly #causes = new Set<string>();

    /**
     * @param metrics Count the failures.
     * @param logger Gets a line for each cause. Default: none is written.
     */
    constructor(
        private readonly metrics: Pick<Metrics, "increment">,
        private readonly logger?: Logger,
    ) {}

    /**
     * Runs an observer. Does not throw.
     *
     * @param observer Name of the observer, one of a bounded set.
     * @param observe Returns what it observes.
     * @returns The result; undefined if the observer failed.
     */
    run<Result>(observer: string, observe: () => Result): Result | undefined {
        try {
            return observe();
        }
        catch (error) {
            this.#record(observer, error);
            return undefined;
        }
    }

    #record(observer: string, error: unknown): void {
        this.metrics.increment("observer_failures_total", { observer });
        const cause = `${observer}: ${causeOf(error)}`;
        if (!this.#causes.has(cause) && this.#causes.size < MAXIMUM_CAUSES) {
            this.#causes.add(cause);
            if (this.logger) {
                logFailure(this.logger, "observer failed", { observer })(error);
            }
        }
    }
}

function causeOf(error: unknown): string {
    if (!(error instanceof Error)) {
        return typeof error;
    }
    return "code" in error ? String(error.code) : `${error.name}: ${error.message}`;
}
