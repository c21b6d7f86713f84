import { CumulativeSum } from "./_cumulative_sum.ts";
import { decodeOutcomeKey } from "./_decode_outcome_key.ts";
import type { Judgement } from "./judgement.ts";
import type { OutcomeKey } from "./outcome_key.ts";
import { responseTimeBuckets } from "./response_time_buckets.ts";

/** Outcomes of the old version on a route below which its response times are not known. */
const MINIMUM_OLD_OUTCOMES = 8;
/** Evidence up to which a version is good. */
const GOOD_EVIDENCE = 0.4;

/** Outcomes on one route. */
interface RouteOutcomes {
    /** The old version's, by bucket of response time. */
    old: Map<number, number>;
    oldFailures: number;
    /** The new version's since the last judgement, by bucket of response time. */
    added: Map<number, number>;
    addedFailures: number;
}

/**
 * Judges the new version of a service by its failures and slow responses, compared with those of the old version at the
 * same time and on the same routes: on each route alone and on all together. An old version that is ill too excuses the
 * new one. The counts are those of all instances.
 *
 * @example
 * ```ts
 * const judge = new VersionJudge("order-1");
 * judge.judge(counts).verdict; // "good"
 * ```
 */
export class VersionJudge {
    readonly #counts = new Map<string, number>();
    readonly #tests = new Map<string, CumulativeSum>();
    readonly #allRoutes = new CumulativeSum();
    #outcomes = 0;
    #badOutcomes = 0;
    #last: Judgement | undefined;

    /**
     * @param order Id of the roll-out's order; counts of other orders are ignored.
     */
    constructor(private readonly order: string) {}

    /**
     * Takes the present counts into account.
     *
     * @param counts Outcomes by encoded key, over all instances. A count that is lower than before, since an instance is
     *     not heard, has no effect.
     * @returns The judgement; once it is `"bad"`, it stays so.
     */
    judge(counts: Record<string, number>): Judgement {
        if (this.#last?.verdict === "bad") {
            return this.#last;
        }
        const routes = this.#collect(counts);
        let oldOutcomes = 0;
        for (const [route, outcomes] of routes) {
            oldOutcomes += this.#judgeRoute(route, outcomes);
        }
        let evidence = this.#allRoutes.evidence;
        let strongest: string | undefined;
        for (const [route, test] of this.#tests) {
            if (test.evidence > evidence) {
                evidence = test.evidence;
                strongest = route;
            }
        }
        this.#last = {
            verdict: evidence >= 1 ? "bad" : evidence < GOOD_EVIDENCE ? "good" : "doubtful",
            evidence,
            route: strongest,
            outcomes: this.#outcomes,
            badOutcomes: this.#badOutcomes,
            oldOutcomes,
        };
        return this.#last;
    }

    /** Groups the counts by route, the new version's by how much they have grown. */
    #collect(counts: Record<string, number>): Map<string, RouteOutcomes> {
        const routes = new Map<string, RouteOutcomes>();
        for (const [text, count] of Object.entries(counts)) {
            const key = decodeOutcomeKey(text);
            if (key?.order !== this.order) {
                continue;
            }
            const outcomes = routes.get(key.route)
                ?? { old: new Map(), oldFailures: 0, added: new Map(), addedFailures: 0 };
            routes.set(key.route, outcomes);
            const before = this.#counts.get(text) ?? 0;
            this.#counts.set(text, Math.max(before, count));
            addOutcomes(outcomes, key, key.version === "old" ? count : Math.max(0, count - before));
        }
        return routes;
    }

    /** Returns the number of the old version's outcomes on the route. */
    #judgeRoute(route: string, { old, oldFailures, added, addedFailures }: RouteOutcomes): number {
        const oldAnswers = sum(old.values());
        const slowFrom = oldAnswers >= MINIMUM_OLD_OUTCOMES
            ? findMedian(old, oldAnswers) + responseTimeBuckets.slowDistance
            : Number.POSITIVE_INFINITY;
        const isSlow = ([bucket]: [number, number]) => bucket >= slowFrom;
        const oldBad = oldFailures + sum([...old].filter(isSlow).map(([, count]) => count));
        const bad = addedFailures + sum([...added].filter(isSlow).map(([, count]) => count));
        const good = sum(added.values()) + addedFailures - bad;
        const test = this.#tests.get(route) ?? new CumulativeSum();
        this.#tests.set(route, test);
        const baseline = { bad: oldBad, all: oldAnswers + oldFailures };
        test.add(bad, good, baseline);
        this.#allRoutes.add(bad, good, baseline);
        this.#outcomes += bad + good;
        this.#badOutcomes += bad;
        return baseline.all;
    }
}

function addOutcomes(outcomes: RouteOutcomes, { version, bucket }: OutcomeKey, count: number): void {
    if (bucket === undefined) {
        outcomes[version === "old" ? "oldFailures" : "addedFailures"] += count;
        return;
    }
    const answers = version === "old" ? outcomes.old : outcomes.added;
    answers.set(bucket, (answers.get(bucket) ?? 0) + count);
}

function findMedian(buckets: Map<number, number>, total: number): number {
    let passed = 0;
    for (const [bucket, count] of [...buckets].sort(([left], [right]) => left - right)) {
        passed += count;
        if (passed * 2 >= total) {
            return bucket;
        }
    }
    return 0;
}

function sum(values: Iterable<number>): number {
    let total = 0;
    for (const value of values) {
        total += value;
    }
    return total;
}
