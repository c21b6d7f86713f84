import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { PeriodicTask, sleep } from "../clocks/mod.ts";
import { Fleet } from "../harness/mod.ts";
import type { CheckResult, EngineTrace, ServiceTrace } from "../oracles/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { runChecks } from "./_checks.ts";
import { faults } from "./_faults.ts";
import type { SoakContext } from "./_soak_context.ts";
import { TrafficGenerator } from "./_traffic_generator.ts";
import type { SoakOptions } from "./soak_options.ts";
import type { SoakReport } from "./soak_report.ts";

const WARM_UP_MILLISECONDS = 3_000;
const CONCURRENT_FAULTS = 2;
const VERSION_READ_MILLISECONDS = 500;
const RECOVERY_MILLISECONDS = 10_000;
const MAXIMUM_DETAILS = 20;

/**
 * Runs a fleet under random traffic and random faults, two at a time, and checks every guarantee at the end.
 *
 * @param options Workload, seed and length.
 * @returns The report.
 * @example
 * ```ts
 * const report = await runSoak({ workload, seed: 1, seconds: 60 });
 * ```
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
    const { workload, seed } = options;
    const progress = options.onProgress ?? (line => process.stderr.write(`${line}\n`));
    const random = new RandomSource(seed);
    const fleet = await Fleet.start({
        instances: options.instances ?? 6,
        failureDomains: workload.failureDomains,
        engines: workload.engines,
        services: workload.services,
        organisations: workload.organisations,
        enginesPerProcess: 3,
        partitionProxies: true,
        graceMilliseconds: 300,
    });
    const versions = new VersionReader(fleet);
    try {
        await sleep(WARM_UP_MILLISECONDS);
        const context = createContext(options, fleet, random);
        await watchForKeys(context);
        const counts = await injectFaults(options, context, progress);
        await waitForRecovery(context);
        const checkResults = await checkGuarantees(context, versions);
        const report = summarise(options, context, counts, checkResults);
        await saveLogs(options, fleet, report);
        return report;
    }
    finally {
        await versions.close();
        await fleet.close();
    }
}

/** Periodically reads the version in force at each instance. */
class VersionReader {
    readonly histories = new Map<string, number[]>();
    readonly #task: PeriodicTask;

    constructor(fleet: Fleet) {
        this.#task = new PeriodicTask(VERSION_READ_MILLISECONDS, async () => {
            await Promise.all(fleet.instances.map(async ({ name, process }, index) => {
                const { status, text } = await fleet.call(index, "/metrics", { timeoutMilliseconds: 1_000 });
                const version = /configuration_version (\d+)/.exec(text)?.[1];
                if (status === 200 && version !== undefined) {
                    const id = `${name}/${process.pid}`;
                    this.histories.set(id, [...this.histories.get(id) ?? [], Number(version)]);
                }
            }));
        });
    }

    async close(): Promise<void> {
        await this.#task.close();
    }
}

function createContext(options: SoakOptions, fleet: Fleet, random: RandomSource): SoakContext {
    const keys = new Map(Object.keys(fleet.organisations).map(name => [name, fleet.key(name)]));
    const poisonAllowed = !options.without?.includes("poison");
    const traffic = new TrafficGenerator(
        fleet,
        options.workload,
        random,
        organisation => keys.get(organisation) ?? "",
        poisonAllowed,
    );
    return {
        fleet,
        traffic,
        random,
        keys,
        faultyInstances: new Set(),
        shutdowns: [],
        drains: [],
        withdrawals: [],
        storedChanges: [],
        races: [],
    };
}

async function watchForKeys({ fleet, keys }: SoakContext): Promise<void> {
    const addresses = [...fleet.engines, ...fleet.services].map(({ address }) => address);
    // Every API key that the run creates contains one of these texts.
    const watchFor = [...keys.values(), ...[...keys.keys()].map(organisation => `-of-${organisation}`)];
    await Promise.all(addresses.map(address => fleet.controlStandIn(address, { watchFor })));
}

async function injectFaults(
    options: SoakOptions,
    context: SoakContext,
    progress: (line: string) => void,
): Promise<Record<string, number>> {
    const { without = [], seconds, seed } = options;
    const kinds = Object.keys(faults).filter(kind => !without.includes(kind));
    const counts = Object.fromEntries(kinds.map(kind => [kind, 0]));
    await setPoison(context.fleet, TrafficGenerator.poison);
    const endsAt = performance.now() + seconds * 1_000;
    const queue: string[] = [];
    const injecting = Array.from({ length: CONCURRENT_FAULTS }, async () => {
        while (performance.now() < endsAt) {
            // Each kind is injected once before any is repeated.
            if (queue.length === 0) {
                queue.push(...kinds.sort(() => context.random.next() - 0.5));
            }
            const kind = queue.shift() ?? "";
            const startedAt = performance.now();
            const injected = await faults[kind]?.(context).catch(() => false) ?? false;
            if (injected) {
                counts[kind] = (counts[kind] ?? 0) + 1;
            }
            else {
                queue.push(kind);
            }
            progress(
                `seed ${seed}: ${kind} ${injected ? "took place" : "postponed"} (${
                    Math.round(performance.now() - startedAt)
                } ms)`,
            );
            await sleep(context.random.integer(50, 500));
        }
    });
    await Promise.all([context.traffic.run(seconds * 1_000), ...injecting]);
    return counts;
}

async function setPoison(fleet: Fleet, poison: string): Promise<void> {
    await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn(address, { poison })));
}

async function waitForRecovery({ fleet }: SoakContext): Promise<void> {
    await setPoison(fleet, "");
    await sleep(RECOVERY_MILLISECONDS);
}

async function checkGuarantees(context: SoakContext, versions: VersionReader): Promise<Record<string, CheckResult>> {
    const { fleet, traffic } = context;
    const engines = await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)));
    const services = await Promise.all(
        fleet.services.map(({ address }) => fleet.controlStandIn<ServiceTrace>(address)),
    );
    const sum = async (series: string) => {
        const values = await Promise.all(fleet.instances.map((_, index) => fleet.sumMetric(index, series)));
        return values.reduce((total, value) => total + value, 0);
    };
    return runChecks({
        context,
        calls: traffic.calls,
        engines,
        services,
        invariantChecks: await sum("invariant_checks_total"),
        invariantViolations: await sum("invariant_violations_total"),
        versions: await Promise.all(
            fleet.instances.map((_, index) => fleet.sumMetric(index, "configuration_version ")),
        ),
        versionHistories: [...versions.histories.values()],
        unexpectedExits: fleet.instances
            .filter(({ process }) => process.ended)
            .map(({ name, process }) => `${name} ended with code ${process.exitCode}`),
    });
}

function summarise(
    { seed }: SoakOptions,
    context: SoakContext,
    faultCounts: Record<string, number>,
    checkResults: Record<string, CheckResult>,
): SoakReport {
    const invariants: SoakReport["invariants"] = {};
    const details: string[] = [];
    for (const [name, { checks, violations }] of Object.entries(checkResults)) {
        invariants[name] = { checks, violations: violations.length };
        details.push(...violations.slice(0, 3).map(violation => `${name}: ${violation}`));
        if (checks === 0) {
            details.push(`${name}: nothing was checked`);
        }
    }
    for (const [kind, count] of Object.entries(faultCounts)) {
        if (count === 0) {
            details.push(`${kind}: did not take place`);
        }
    }
    const calls: Record<string, number> = {};
    for (const { kind, cancelled, result } of context.traffic.calls) {
        const outcome = cancelled ? "cancelled" : result.reason ?? (result.broken ? "broken" : String(result.status));
        calls[`${kind} ${outcome}`] = (calls[`${kind} ${outcome}`] ?? 0) + 1;
    }
    return {
        seed,
        passed: details.length === 0,
        faults: faultCounts,
        invariants,
        details: details.slice(0, MAXIMUM_DETAILS),
        calls,
    };
}

async function saveLogs({ keepLogsIn, seed }: SoakOptions, fleet: Fleet, report: SoakReport): Promise<void> {
    if (report.passed || keepLogsIn === undefined) {
        return;
    }
    await mkdir(keepLogsIn, { recursive: true });
    for (const [index, { name }] of fleet.instances.entries()) {
        await writeFile(join(keepLogsIn, `seed-${seed}-${name}.log`), await fleet.log(index));
    }
    const engines = await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn(address)));
    await writeFile(join(keepLogsIn, `seed-${seed}-engines.json`), JSON.stringify(engines));
}
