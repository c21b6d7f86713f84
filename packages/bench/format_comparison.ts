import type { BenchResult } from "./bench_result.ts";

/** Measures that are compared. Higher is better, except for `wastedPrefill` and `wrongfulRefusals`. */
const MEASURES = [
    "goodput",
    "withinTargets",
    "wastedPrefill",
    "worstOrganisation",
    "wrongfulRefusals",
    "othersGoodput",
    "zoneService",
] as const;

/**
 * Formats results as a table by workload, scenario and policy: the median and the range over the seeds, and the goodput
 * of the policy `today` divided by that of the policy.
 *
 * @param results Results of several policies and seeds.
 * @returns The table in Markdown.
 * @example
 * ```ts
 * process.stdout.write(formatComparison(results));
 * ```
 */
export function formatComparison(results: BenchResult[]): string {
    const lines = [
        `| workload | scenario | policy | seeds | ${MEASURES.join(" | ")} | goodput of today / this |`,
        `|---|---|---|---|${MEASURES.map(() => "---").join("|")}|---|`,
    ];
    const groups = new Map<string, BenchResult[]>();
    for (const result of results) {
        const name = `${result.workload}|${result.scenario}|${result.policy}`;
        groups.set(name, [...groups.get(name) ?? [], result]);
    }
    for (const [name, group] of groups) {
        const [workload = "", scenario = "", policy = ""] = name.split("|");
        const baseline = groups.get(`${workload}|${scenario}|today`) ?? [];
        const cells = MEASURES.map(measure => formatMedianAndRange(group.map(result => result[measure])));
        const ratio = formatMedianAndRange(goodputRatios(baseline, group));
        lines.push(`| ${[workload, scenario, policy, group.length, ...cells, ratio].join(" | ")} |`);
    }
    return `${lines.join("\n")}\n`;
}

/** Computes the goodput ratios of runs with the same seed. */
function goodputRatios(baseline: BenchResult[], group: BenchResult[]): number[] {
    return group.flatMap(result => {
        const baselineResult = baseline.find(({ seed }) => seed === result.seed);
        return baselineResult && result.goodput > 0 ? [baselineResult.goodput / result.goodput] : [];
    });
}

function formatMedianAndRange(values: (number | undefined)[]): string {
    const sorted = values.filter(value => value !== undefined).sort((left, right) => left - right);
    const [lowest] = sorted;
    const median = sorted[Math.floor(sorted.length / 2)];
    if (lowest === undefined || median === undefined) {
        return "";
    }
    const highest = sorted.at(-1) ?? median;
    return `${format(median)} (${format(lowest)} to ${format(highest)})`;
}

function format(value: number): string {
    return value.toFixed(3);
}
