import {
    checkAnswers,
    checkLimits,
    checkNotRun,
    checkOnceOnly,
    type CheckResult,
    type EngineTrace,
    type ObservedCall,
    type ServiceTrace,
} from "../oracles/mod.ts";
import type { SoakContext } from "./_soak_context.ts";
import { TrafficGenerator } from "./_traffic_generator.ts";

/** Seconds after which a withdrawal, drain or change must be in force everywhere. */
const IN_FORCE_MILLISECONDS = 5_000;

/** What the checks at the end of a soak read. */
interface SoakEvidence {
    context: SoakContext;
    calls: ObservedCall[];
    engines: EngineTrace[];
    services: ServiceTrace[];
    /** Sums of the instances' own counters. */
    programChecks: number;
    programViolations: number;
    /** Versions in force at each instance at the end. */
    versions: number[];
    /** Versions that each instance process had in force, in the order in which they were read. */
    versionHistories: number[][];
    /** Exit codes of instance processes that ended by themselves. */
    unexpectedExits: string[];
}

/** Makes every check of a soak. */
export function makeChecks(evidence: SoakEvidence): Record<string, CheckResult> {
    const { context, calls, engines, services } = evidence;
    return {
        "once-only-calls-run-at-most-once": checkOnceOnly(calls, services),
        "not-run-is-true": checkNotRun(calls, engines, services),
        "limits-hold-over-every-window": checkLimits(engines, context.fleet.organisations),
        "whole-answer-to-its-own-caller": checkAnswers(calls),
        "withdrawn-keys-stop": checkWithdrawals(evidence),
        "keys-are-not-passed-on": checkKeysKept([...engines, ...services]),
        "no-engine-memory-for-gone-requests": checkMemoryFree(engines),
        "no-decode-server-over-its-memory": checkMemoryBound(engines),
        "cold-servers-get-what-they-bear": checkCold(engines),
        "drained-domains-get-no-new-work": checkDrains(evidence),
        "configuration-in-force-everywhere": checkInForce(evidence),
        "configuration-never-reverts": checkHistories(evidence.versionHistories),
        "one-operator-wins-a-race": checkRaces(context.races),
        "shutdown-cuts-no-request": checkShutdowns(evidence),
        "crashing-requests-are-stopped": checkPoison(calls, engines),
        "program-invariants": {
            checks: evidence.programChecks,
            violations: [
                ...Array.from({ length: evidence.programViolations }, () => "an instance counted a violation"),
                ...evidence.unexpectedExits,
            ],
        },
    };
}

function checkWithdrawals({ context, calls }: SoakEvidence): CheckResult {
    const finding: CheckResult = { checks: 0, violations: [] };
    for (const { key, from } of context.withdrawals) {
        const own = calls.filter(call => call.key === key);
        const late = own.filter(call => call.startedAt > from + IN_FORCE_MILLISECONDS);
        finding.checks += 1 + late.length;
        for (const { label, result } of late) {
            if (result.status === 200) {
                finding.violations.push(`${label} was served under a withdrawn key`);
            }
        }
        const streaming = own.filter(call =>
            call.kind === "model" && call.startedAt < from
            && call.endedAt > from + IN_FORCE_MILLISECONDS && call.result.status === 200
        );
        finding.checks += streaming.length;
        streaming.forEach(({ label }) => finding.violations.push(`${label} streamed on under a withdrawn key`));
    }
    return finding;
}

function checkKeysKept(traces: { watchedTextSeen: number; bytesSearched: number; }[]): CheckResult {
    const violations = traces
        .filter(({ watchedTextSeen }) => watchedTextSeen > 0)
        .map(({ watchedTextSeen }) => `a back end got a key in ${watchedTextSeen} requests`);
    return { checks: traces.reduce((sum, { bytesSearched }) => sum + bytesSearched, 0), violations };
}

function checkMemoryFree(engines: EngineTrace[]): CheckResult {
    const violations = engines.flatMap(({ running }) => running.map(({ id }) => `${id} still holds memory`));
    const cancels = engines.reduce((sum, { counts }) => sum + (counts["cancels"] ?? 0), 0);
    return { checks: cancels, violations };
}

function checkMemoryBound(engines: EngineTrace[]): CheckResult {
    const count = (name: string) => engines.reduce((sum, { counts }) => sum + (counts[name] ?? 0), 0);
    const violations = Array.from({ length: count("memoryRefusals") }, () => "an engine had no memory for a decode");
    return { checks: count("transfers"), violations };
}

function checkCold(engines: EngineTrace[]): CheckResult {
    const overloads = engines.reduce((sum, { counts }) => sum + (counts["overloads"] ?? 0), 0);
    const boots = engines.reduce((sum, { counts }) => sum + (counts["boots"] ?? 0) - 1, 0);
    return { checks: boots, violations: Array.from({ length: overloads }, () => "a cold server fell over") };
}

function checkDrains({ context, engines }: SoakEvidence): CheckResult {
    const finding: CheckResult = { checks: 0, violations: [] };
    for (const { servers, from, to } of context.drains) {
        for (const [index, { address }] of context.fleet.engines.entries()) {
            if (!servers.includes(address)) {
                continue;
            }
            finding.checks++;
            const late = (engines[index]?.trace ?? []).filter(({ at }) => at > from + IN_FORCE_MILLISECONDS && at < to);
            late.forEach(({ request }) => finding.violations.push(`${request} reached a drained server`));
        }
    }
    return finding;
}

function checkInForce({ context, versions }: SoakEvidence): CheckResult {
    const highest = Math.max(0, ...context.accepted.map(({ version }) => version));
    const violations = versions
        .filter(version => version < highest)
        .map(version => `an instance has version ${version}, ${highest} was accepted`);
    return { checks: context.accepted.length * versions.length, violations };
}

function checkHistories(histories: number[][]): CheckResult {
    const finding: CheckResult = { checks: 0, violations: [] };
    for (const history of histories) {
        for (const [index, version] of history.entries()) {
            finding.checks++;
            if (version < (history[index - 1] ?? 0)) {
                finding.violations.push(`version ${version} came after ${history[index - 1]}`);
            }
        }
    }
    return finding;
}

function checkRaces(races: number[]): CheckResult {
    return { checks: races.length, violations: races.filter(won => won !== 1).map(won => `${won} operators won`) };
}

function checkShutdowns({ context, calls }: SoakEvidence): CheckResult {
    const finding: CheckResult = { checks: 0, violations: [] };
    for (const { index, from, to } of context.shutdowns) {
        for (const call of calls) {
            const there = context.traffic.targets.get(call) === index;
            if (!there || call.cancelled || call.endedAt < from || call.startedAt > to) {
                continue;
            }
            finding.checks++;
            if (call.result.broken) {
                finding.violations.push(`${call.label} was cut by a shutdown`);
            }
        }
    }
    return finding;
}

function checkPoison(calls: ObservedCall[], engines: EngineTrace[]): CheckResult {
    const labels = new Set(
        calls.filter(({ prompt }) => prompt.endsWith(TrafficGenerator.poison)).map(({ label }) => label),
    );
    const finding: CheckResult = { checks: labels.size, violations: [] };
    for (const label of labels) {
        const crashed = engines.filter(({ trace }) => trace.some(entry => entry.label === label)).length;
        if (crashed > 2) {
            finding.violations.push(`${label} crashed ${crashed} servers`);
        }
    }
    const stopped = calls.filter(({ label, result }) =>
        !labels.has(label) && result.reason === "request-crashes-servers"
    );
    for (const { label } of stopped) {
        // A request that two servers crashed under, for whatever reason, is stopped as it should be.
        const crashed = engines.filter(({ trace }) => trace.some(entry => entry.label === label && entry.crashed));
        if (crashed.length < 2) {
            finding.violations.push(`${label} was stopped after ${crashed.length} crashes`);
        }
    }
    return finding;
}
