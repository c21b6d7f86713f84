import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { InvariantName } from "./invariant_name.ts";

/**
 * Checks invariants, counts checks and violations, and optionally exits the process on a violation.
 *
 * @example
 * ```ts
 * const invariants = new Invariants(metrics, logger, false);
 * invariants.check("share-level-within-burst", level <= burst, { level, burst });
 * ```
 */
export class Invariants {
    /**
     * @param metrics Receives the counts of checks and violations.
     * @param logger Receives an entry for each violation.
     * @param stopOnViolation Whether the process exits with code 70 on a violation.
     */
    constructor(
        private readonly metrics: Metrics,
        private readonly logger: Logger,
        private readonly stopOnViolation: boolean,
    ) {}

    /**
     * Checks one invariant.
     *
     * @param name The invariant.
     * @param holds Whether it holds.
     * @param fields Values that explain a violation.
     */
    check(name: InvariantName, holds: boolean, fields: Record<string, unknown> = {}): void {
        this.metrics.increment("invariant_checks_total", { invariant: name });
        if (holds) {
            return;
        }
        this.metrics.increment("invariant_violations_total", { invariant: name });
        this.logger.error("invariant violated", { invariant: name, ...fields });
        if (this.stopOnViolation) {
            process.exit(70);
        }
    }
}
