import type { CheckResult } from "./check_result.ts";
import type { EngineTrace } from "./engine_trace.ts";
import type { ObservedCall } from "./observed_call.ts";
import type { ServiceTrace } from "./service_trace.ts";

/**
 * Checks that no backend server saw a request that was refused with the verdict `not-run`.
 *
 * @param calls Calls as their callers saw them.
 * @param engines Traces of the engines.
 * @param services Traces of the services.
 * @returns The result, with one check for each such refusal.
 * @example
 * ```ts
 * checkNotRun(calls, engines, services).violations; // []
 * ```
 */
export function checkNotRun(calls: ObservedCall[], engines: EngineTrace[], services: ServiceTrace[]): CheckResult {
    const seen = new Set<string>();
    for (const { request } of engines.flatMap(({ trace }) => trace)) {
        // Engines receive the request's id, followed by a dot and the number of the attempt.
        seen.add(request.slice(0, request.lastIndexOf(".")));
    }
    for (const { request } of services.flatMap(trace => trace.calls)) {
        seen.add(request);
    }
    const refused = calls.filter(({ result }) => result.verdict === "not-run");
    const violations = refused
        .filter(({ result }) => seen.has(result.requestId))
        .map(({ label, result }) => `${label} (${result.requestId}) was refused as not run: ${result.reason}`);
    return { checks: refused.length, violations };
}
