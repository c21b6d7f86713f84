import type { BenchResult } from "./bench_result.ts";

/** Measures that are compared; for all but two, more is better. */
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
 * Tabulates results by scenario and policy: the median over the seeds, the spread, and the ratio to `today`.
 *
 * @param results Results of several policies and seeds.
 * @returns The table in Markdown.
 * @example
 * ```ts
 * process.stdout.write(compareResults(results));
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
        const today = groups.get(`${workload}|${scenario}|today`) ?? [];
        const cells = MEASURES.map(measure => describe(group.map(result => result[measure])));
        const ratio = describe(ratios(today, group));
        lines.push(`| ${[workload, scenario, policy, group.length, ...cells, ratio].join(" | ")} |`);
    }
    return `${lines.join("\n")}\n`;
}

/** Ratios of runs with the same seed. */
function ratios(today: BenchResult[], group: BenchResult[]): number[] {
    return group.flatMap(result => {
        const partner = today.find(({ seed }) => seed === result.seed);
        return partner && result.goodput > 0 ? [partner.goodput / result.goodput] : [];
    });
}

function describe(values: (number | undefined)[]): string {
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
