import type { CheckResult } from "./check_result.ts";
import type { ObservedCall } from "./observed_call.ts";
import type { ServiceTrace } from "./service_trace.ts";

/**
 * Checks that the services ran the call under each idempotency key at most once, and exactly once if a caller received
 * its response.
 *
 * @param calls Calls as their callers saw them.
 * @param traces Traces of the services.
 * @returns The result, with one check for each idempotency key.
 * @example
 * ```ts
 * checkOnceOnly(calls, traces).violations; // []
 * ```
 */
export function checkOnceOnly(calls: ObservedCall[], traces: ServiceTrace[]): CheckResult {
    const runs = new Map<string, number>();
    for (const { key, organisation } of traces.flatMap(trace => trace.calls)) {
        if (key !== "") {
            const name = `${organisation}/${key}`;
            runs.set(name, (runs.get(name) ?? 0) + 1);
        }
    }
    const onceOnlyCalls = calls.filter(({ kind }) => kind === "once-only");
    const checkResult: CheckResult = { checks: 0, violations: [] };
    const nameOf = (call: ObservedCall) => `${call.organisation}/${call.label}`;
    for (const key of new Set([...runs.keys(), ...onceOnlyCalls.map(nameOf)])) {
        checkResult.checks++;
        const count = runs.get(key) ?? 0;
        if (count > 1) {
            checkResult.violations.push(`${key} ran ${count} times`);
        }
        const answered = onceOnlyCalls.some(call =>
            nameOf(call) === key && call.result.status === 200 && !call.result.broken
        );
        if (answered && count === 0) {
            checkResult.violations.push(`${key} was answered but never ran`);
        }
    }
    return checkResult;
}
