import { sleep } from "../clocks/mod.ts";
import { Fleet, parseCompletion } from "../harness/mod.ts";
import type { EngineTrace } from "../oracles/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { floodingOrganisation } from "./_flooding_organisation.ts";
import { generateSchedule } from "./_load_schedule.ts";
import { measures } from "./_measures.ts";
import type { Outcome } from "./_outcome.ts";
import type { ScheduledRequest } from "./_scheduled_request.ts";
import type { BenchOptions } from "./bench_options.ts";
import type { BenchResult } from "./bench_result.ts";

const { percentiles, round, sum, lowestServedFraction, wrongfulRefusalFraction } = measures;
const FIRST_TOKEN_TARGET_MILLISECONDS = 690;
const BETWEEN_TOKENS_TARGET_MILLISECONDS = 46;
const TIME_SCALE = 1;
const DEFAULT_SECONDS = 30;
const WARM_UP_MILLISECONDS = 10_000;
const CALL_TIMEOUT_MILLISECONDS = 60_000;
/** Time after which a drained failure domain receives no new work. */
const IN_FORCE_MILLISECONDS = 5_000;

/** Counters of the fleet at one point in time. */
interface Counters {
    messages: number;
    bytes: number;
    storeCalls: number;
    processorSeconds: number;
    prefills: number;
    transfers: number;
}

/**
 * Runs one open-loop experiment: the load is generated in advance, and each request is sent at its scheduled time,
 * however slow the system is.
 *
 * @param options Workload, policy, scenario and seed.
 * @returns The result.
 * @example
 * ```ts
 * const result = await runBench({ workload, policy: "today", scenario: "steady", seed: 1 });
 * ```
 */
export async function runBench(options: BenchOptions): Promise<BenchResult> {
    const { workload, scenario, seed } = options;
    const seconds = options.seconds ?? DEFAULT_SECONDS;
    const fleet = await Fleet.start({
        instances: options.instances ?? 6,
        failureDomains: workload.failureDomains,
        engines: workload.engines,
        services: 1,
        organisations: workload.organisations,
        policy: options.policy,
        enginesPerProcess: 3,
    });
    try {
        // Limit shares start empty and slow-start limits at one request; a warm-up raises both.
        const warmUp = generateSchedule(workload, "steady", seed + 1_000_000, WARM_UP_MILLISECONDS);
        await sendAll(fleet, warmUp, seed, () => {});
        const schedule = generateSchedule(workload, scenario, seed, seconds * 1_000);
        const before = await readCounters(fleet);
        const injecting = injectFaults(fleet, options, seconds);
        const outcomes = await sendAll(fleet, schedule, seed, at => options.onProgress?.(at / (seconds * 1_000)));
        const after = await readCounters(fleet);
        await injecting;
        return await summarise(options, fleet, seconds, outcomes, before, after);
    }
    finally {
        await fleet.close();
    }
}

async function sendAll(
    fleet: Fleet,
    schedule: ScheduledRequest[],
    seed: number,
    onSent: (at: number) => void,
): Promise<Outcome[]> {
    const random = new RandomSource(seed);
    const startedAt = performance.now();
    const running: Promise<Outcome>[] = [];
    for (const request of schedule) {
        await sleep(Math.max(0, startedAt + request.at - performance.now()));
        onSent(request.at);
        running.push(send(fleet, request, random.integer(0, fleet.instances.length - 1), startedAt));
    }
    return await Promise.all(running);
}

async function send(fleet: Fleet, request: ScheduledRequest, index: number, startedAt: number): Promise<Outcome> {
    // Latency is measured from the scheduled time, also when the load generator itself is late.
    const sendDelay = performance.now() - startedAt - request.at;
    const result = await fleet.call(index, "/v1/completions", {
        key: fleet.key(request.organisation),
        body: { model: "drafting", prompt: request.prompt, max_tokens: request.maximumTokens, stream: true },
        timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
    });
    const { text, finish } = parseCompletion(result);
    const outputTokens = text.split(" ").length - 1;
    const served = result.status === 200 && finish !== undefined;
    const first = result.chunkTimes[0] ?? 0;
    const last = result.chunkTimes.at(-1) ?? 0;
    const firstToken = sendDelay + first;
    const betweenTokens = outputTokens > 1 ? (last - first) / (outputTokens - 1) : 0;
    const good = served
        && firstToken <= FIRST_TOKEN_TARGET_MILLISECONDS * TIME_SCALE
        && betweenTokens <= BETWEEN_TOKENS_TARGET_MILLISECONDS * TIME_SCALE;
    return { request, result, served, firstToken, betweenTokens, outputTokens, good };
}

async function injectFaults(fleet: Fleet, { scenario, workload }: BenchOptions, seconds: number): Promise<void> {
    const [domain = ""] = workload.failureDomains;
    if (scenario === "outage") {
        await fleet.controlStandIn(fleet.storeAddress, { outage: true });
    }
    if (scenario === "zone") {
        const { from, to } = drainPeriod(seconds);
        await sleep(from);
        await fleet.change([{ collection: "drainedDomains", name: domain, value: { since: "" } }]);
        await sleep(to - from);
        await fleet.change([{ collection: "drainedDomains", name: domain }]);
    }
    if (scenario === "cold") {
        await sleep(seconds * 1_000 / 3);
        const decodeEngines = fleet.engines.filter(({ role }) => role === "decode");
        await Promise.all(
            decodeEngines.slice(0, Math.ceil(decodeEngines.length / 3)).map(({ address }) =>
                fleet.controlStandIn(address, { crash: true })
            ),
        );
    }
}

/** Returns the period, in milliseconds, in which a failure domain is drained: the middle half of the run. */
function drainPeriod(seconds: number): { from: number; to: number; } {
    return { from: seconds * 250, to: seconds * 750 };
}

async function readCounters(fleet: Fleet): Promise<Counters> {
    const total = async (series: string) =>
        sum(await Promise.all(fleet.instances.map((_, index) => fleet.sumMetric(index, series))));
    const traces = await Promise.all(fleet.engines.map(({ address }) => fleet.controlStandIn<EngineTrace>(address)));
    return {
        messages: await total("control_messages_total"),
        bytes: await total("control_bytes_total"),
        storeCalls: await total("store_calls_total"),
        processorSeconds: await total("processor_seconds_total"),
        prefills: sum(traces.map(({ counts }) => counts["prefills"] ?? 0)),
        transfers: sum(traces.map(({ counts }) => counts["transfers"] ?? 0)),
    };
}

async function summarise(
    options: BenchOptions,
    fleet: Fleet,
    seconds: number,
    outcomes: Outcome[],
    before: Counters,
    after: Counters,
): Promise<BenchResult> {
    const { workload, scenario, seed, policy } = options;
    const served = outcomes.filter(outcome => outcome.served);
    const good = outcomes.filter(outcome => outcome.good);
    const others = good.filter(({ request }) => request.organisation !== floodingOrganisation(workload));
    const instances = fleet.instances.length;
    const memory = await Promise.all(
        fleet.instances.map((_, index) => fleet.sumMetric(index, "resident_memory_bytes ")),
    );
    const rate = (name: keyof Counters) => (after[name] - before[name]) / seconds;
    const computedPrefills = after.prefills - before.prefills;
    return {
        seed,
        workload: workload.name,
        policy,
        scenario,
        timeScale: TIME_SCALE,
        goodput: round(good.length / seconds),
        offered: round(outcomes.length / seconds),
        withinTargets: round(good.length / Math.max(1, served.length)),
        wastedPrefill: round(
            Math.max(0, computedPrefills - (after.transfers - before.transfers)) / Math.max(1, computedPrefills),
        ),
        worstOrganisation: round(lowestServedFraction(outcomes, workload.organisations, seconds)),
        wrongfulRefusals: round(wrongfulRefusalFraction(outcomes, workload.organisations)),
        othersGoodput: round(others.length / seconds),
        ...(scenario === "zone" ? { zoneService: round(goodFractionDuringDrain(outcomes, seconds)) } : {}),
        firstToken: percentiles(served.map(({ firstToken }) => firstToken)),
        betweenTokens: percentiles(served.map(({ betweenTokens }) => betweenTokens)),
        storeCallsPerSecond: round(rate("storeCalls")),
        instance: {
            controlMessagesPerSecond: round(rate("messages") / instances),
            controlBytesPerSecond: round(rate("bytes") / instances),
            controlBytesPerRequest: round((after.bytes - before.bytes) / 2 / Math.max(1, outcomes.length)),
            processorShare: round(rate("processorSeconds") / instances),
            residentMegabytes: round(sum(memory) / instances / 1_048_576),
        },
        refusals: countBy(outcomes.filter(outcome => !outcome.served), ({ result }) => result.reason ?? "broken"),
        retries: await readRetries(fleet),
    };
}

/** Returns the fraction of the requests during the drain that met both latency targets. */
function goodFractionDuringDrain(outcomes: Outcome[], seconds: number): number {
    const { from, to } = drainPeriod(seconds);
    const during = outcomes.filter(({ request }) => request.at > from + IN_FORCE_MILLISECONDS && request.at < to);
    return during.filter(({ good }) => good).length / Math.max(1, during.length);
}

async function readRetries(fleet: Fleet): Promise<Record<string, number>> {
    const retries: Record<string, number> = {};
    for (const index of fleet.instances.keys()) {
        const { text } = await fleet.call(index, "/metrics");
        for (const [, reason = "", count] of text.matchAll(/retries_total\{reason="([^"]+)"\} (\d+)/g)) {
            retries[reason] = (retries[reason] ?? 0) + Number(count);
        }
    }
    return retries;
}

function countBy<Item>(items: Item[], nameOf: (item: Item) => string): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const item of items) {
        const name = nameOf(item);
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
}
