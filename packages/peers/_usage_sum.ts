import type { UsageSummary } from "./usage_summary.ts";

/** Usage by several cells: one sum of those that report, and the last usage of each of the others. */
export class UsageSum {
    #live: UsageSummary | undefined;
    readonly #silent: UsageSummary[] = [];

    /** Adds the usage by a cell. */
    add(parts: UsageSummary[], age: number, isFresh: boolean): void {
        for (const usage of parts) {
            const aged = { ...usage, age: usage.age + age };
            if (isFresh && !usage.missing) {
                this.#live = this.#live ? addUsage(this.#live, aged) : aged;
            }
            else {
                this.#silent.push({ ...aged, missing: true });
            }
        }
    }

    /** Adds the usage by processes that were replaced; those that replaced them are counted with their own reports. */
    addReplaced(parts: UsageSummary[], age: number): void {
        this.#silent.push(...parts.map(part => ({ ...part, instances: 0, missing: true, age: part.age + age })));
    }

    /** The sum, then the others. */
    summaries(): UsageSummary[] {
        return this.#live ? [this.#live, ...this.#silent] : this.#silent;
    }
}

function addUsage(left: UsageSummary, right: UsageSummary): UsageSummary {
    return {
        instances: left.instances + right.instances,
        spending: addByKey(left.spending, right.spending),
        asked: addByKey(left.asked, right.asked),
        assumedShare: left.assumedShare + right.assumedShare,
        age: Math.max(left.age, right.age),
        missing: false,
    };
}

function addByKey(left: Record<string, number>, right: Record<string, number>): Record<string, number> {
    const sums = { ...left };
    for (const [key, value] of Object.entries(right)) {
        sums[key] = (sums[key] ?? 0) + value;
    }
    return sums;
}
