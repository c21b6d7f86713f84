import { parseCompletion } from "../harness/mod.ts";
import { computeCompletion } from "../stand_ins/mod.ts";
import type { CheckResult } from "./check_result.ts";
import type { ObservedCall } from "./observed_call.ts";

/**
 * Checks byte for byte that each caller got the answer to its own prompt: the whole one if the answer says that it is
 * complete, otherwise a beginning of it.
 *
 * @param calls Calls as their callers saw them.
 * @returns One check for each answer.
 * @example
 * ```ts
 * checkAnswers(calls).violations; // []
 * ```
 */
export function checkAnswers(calls: ObservedCall[]): CheckResult {
    const finding: CheckResult = { checks: 0, violations: [] };
    for (const call of calls) {
        if (call.kind !== "model" || call.result.status !== 200) {
            continue;
        }
        finding.checks++;
        const { text, finish } = parseCompletion(call.result);
        const expected = computeCompletion(call.prompt);
        const count = Math.min(expected.tokenCount, call.maximumTokens);
        const whole = Array.from({ length: count }, (_, index) => expected.token(index)).join("");
        const right = finish === undefined ? whole.startsWith(text) : text === whole;
        if (!right) {
            const place = [...text].findIndex((character, index) => character !== whole[index]);
            const detail = `differs at ${place}: got ${text.length} characters, finish ${finish}`;
            finding.violations.push(`${call.label} (${call.result.requestId}) ${detail}`);
        }
    }
    return finding;
}
