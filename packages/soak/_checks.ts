import {
    checkCompletions,
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

/** Time after which a key revocation, a drain or another change must be in force at every instance. */
const IN_FORCE_MILLISECONDS = 5_000;

/** Data that the checks at the end of a soak test read. */
interface SoakEvidence {
    context: SoakContext;
    calls: ObservedCall[];
    engines: EngineTrace[];
    services: ServiceTrace[];
    /** Sums of the instances' counters of invariant checks and violations. */
    invariantChecks: number;
    invariantViolations: number;
    /** Version in force at each instance at the end. */
    versions: number[];
    /** Versions in force at each instance process, in the order in which they were read. */
    versionHistories: number[][];
    /** Exit codes of instance processes that ended by themselves. */
    unexpectedExits: string[];
}

/** Runs every check of a soak test. */
export function runChecks(evidence: SoakEvidence): Record<string, CheckResult> {
    const { context, calls, engines, services } = evidence;
    return {
        "once-only-calls-run-at-most-once": checkOnceOnly(calls, services),
        "not-run-is-true": checkNotRun(calls, engines, services),
        "limits-hold-over-every-window": checkLimits(engines, context.fleet.organisations),
        "whole-answer-to-its-own-caller": checkCompletions(calls),
        "withdrawn-keys-stop": checkRevokedKeys(evidence),
        "keys-are-not-passed-on": checkKeysNotForwarded([...engines, ...services]),
        "no-engine-memory-for-gone-requests": checkMemoryReleased(engines),
        "no-decode-server-over-its-memory": checkMemoryLimit(engines),
        "cold-servers-get-what-they-bear": checkColdServers(engines),
        "drained-domains-get-no-new-work": checkDrains(evidence),
        "configuration-in-force-everywhere": checkInForce(evidence),
        "configuration-never-reverts": checkVersionHistories(evidence.versionHistories),
        "one-operator-wins-a-race": checkRaces(context.races),
        "shutdown-cuts-no-request": checkShutdowns(evidence),
        "crashing-requests-are-stopped": checkCrashingRequests(calls, engines),
        "program-invariants": {
            checks: evidence.invariantChecks,
            violations: [
                ...Array.from({ length: evidence.invariantViolations }, () => "an instance counted a violation"),
                ...evidence.unexpectedExits,
            ],
        },
    };
}

function checkRevokedKeys({ context, calls }: SoakEvidence): CheckResult {
    const checkResult: CheckResult = { checks: 0, violations: [] };
    for (const { key, from } of context.withdrawals) {
        const callsWithKey = calls.filter(call => call.key === key);
        const late = callsWithKey.filter(call => call.startedAt > from + IN_FORCE_MILLISECONDS);
        checkResult.checks += 1 + late.length;
        for (const { label, result } of late) {
            if (result.status === 200) {
                checkResult.violations.push(`${label} was served under a withdrawn key`);
            }
        }
        const streaming = callsWithKey.filter(call =>
            call.kind === "model" && call.startedAt < from
            && call.endedAt > from + IN_FORCE_MILLISECONDS && call.result.status === 200
        );
        checkResult.checks += streaming.length;
        streaming.forEach(({ label }) => checkResult.violations.push(`${label} streamed on under a withdrawn key`));
    }
    return checkResult;
}

function checkKeysNotForwarded(traces: { watchedTextSeen: number; bytesSearched: number; }[]): CheckResult {
    const violations = traces
        .filter(({ watchedTextSeen }) => watchedTextSeen > 0)
        .map(({ watchedTextSeen }) => `a back end got a key in ${watchedTextSeen} requests`);
    return { checks: traces.reduce((sum, { bytesSearched }) => sum + bytesSearched, 0), violations };
}

function checkMemoryReleased(engines: EngineTrace[]): CheckResult {
    const violations = engines.flatMap(({ running }) => running.map(({ id }) => `${id} still holds memory`));
    const cancels = engines.reduce((sum, { counts }) => sum + (counts["cancels"] ?? 0), 0);
    return { checks: cancels, violations };
}

function checkMemoryLimit(engines: EngineTrace[]): CheckResult {
    const count = (name: string) => engines.reduce((sum, { counts }) => sum + (counts[name] ?? 0), 0);
    const violations = Array.from({ length: count("memoryRefusals") }, () => "an engine had no memory for a decode");
    return { checks: count("transfers"), violations };
}

function checkColdServers(engines: EngineTrace[]): CheckResult {
    const overloads = engines.reduce((sum, { counts }) => sum + (counts["overloads"] ?? 0), 0);
    const boots = engines.reduce((sum, { counts }) => sum + (counts["boots"] ?? 0) - 1, 0);
    return { checks: boots, violations: Array.from({ length: overloads }, () => "a cold server fell over") };
}

function checkDrains({ context, engines }: SoakEvidence): CheckResult {
    const checkResult: CheckResult = { checks: 0, violations: [] };
    for (const { servers, from, to } of context.drains) {
        for (const [index, { address }] of context.fleet.engines.entries()) {
            if (!servers.includes(address)) {
                continue;
            }
            checkResult.checks++;
            const late = (engines[index]?.trace ?? []).filter(({ at }) => at > from + IN_FORCE_MILLISECONDS && at < to);
            late.forEach(({ request }) => checkResult.violations.push(`${request} reached a drained server`));
        }
    }
    return checkResult;
}

function checkInForce({ context, versions }: SoakEvidence): CheckResult {
    const highest = Math.max(0, ...context.storedChanges.map(({ version }) => version));
    const violations = versions
        .filter(version => version < highest)
        .map(version => `an instance has version ${version}, ${highest} was accepted`);
    return { checks: context.storedChanges.length * versions.length, violations };
}

function checkVersionHistories(histories: number[][]): CheckResult {
    const checkResult: CheckResult = { checks: 0, violations: [] };
    for (const history of histories) {
        for (const [index, version] of history.entries()) {
            checkResult.checks++;
            if (version < (history[index - 1] ?? 0)) {
                checkResult.violations.push(`version ${version} came after ${history[index - 1]}`);
            }
        }
    }
    return checkResult;
}

function checkRaces(races: number[]): CheckResult {
    return { checks: races.length, violations: races.filter(won => won !== 1).map(won => `${won} operators won`) };
}

function checkShutdowns({ context, calls }: SoakEvidence): CheckResult {
    const checkResult: CheckResult = { checks: 0, violations: [] };
    for (const { index, from, to } of context.shutdowns) {
        for (const call of calls) {
            const sentToInstance = context.traffic.targets.get(call) === index;
            if (!sentToInstance || call.cancelled || call.endedAt < from || call.startedAt > to) {
                continue;
            }
            checkResult.checks++;
            if (call.result.broken) {
                checkResult.violations.push(`${call.label} was cut by a shutdown`);
            }
        }
    }
    return checkResult;
}

function checkCrashingRequests(calls: ObservedCall[], engines: EngineTrace[]): CheckResult {
    const labels = new Set(
        calls.filter(({ prompt }) => prompt.endsWith(TrafficGenerator.poison)).map(({ label }) => label),
    );
    const checkResult: CheckResult = { checks: labels.size, violations: [] };
    for (const label of labels) {
        const crashed = engines.filter(({ trace }) => trace.some(entry => entry.label === label)).length;
        if (crashed > 2) {
            checkResult.violations.push(`${label} crashed ${crashed} servers`);
        }
    }
    const blocked = calls.filter(({ label, result }) =>
        !labels.has(label) && result.reason === "request-crashes-servers"
    );
    for (const { label } of blocked) {
        // A request is rightly blocked if two servers crashed while they ran it, whatever the reason.
        const crashedEngines = engines.filter(({ trace }) =>
            trace.some(entry => entry.label === label && entry.crashed)
        );
        if (crashedEngines.length < 2) {
            checkResult.violations.push(`${label} was stopped after ${crashedEngines.length} crashes`);
        }
    }
    return checkResult;
}
