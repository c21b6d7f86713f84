import { parseCompletion } from "../harness/mod.ts";
import { computeCompletion } from "../stand_ins/mod.ts";
import type { CheckResult } from "./check_result.ts";
import type { ObservedCall } from "./observed_call.ts";

/**
 * Checks that each caller received exactly the completion of its own prompt: all of it if a finish reason came with it,
 * otherwise a prefix of it.
 *
 * @param calls Model calls and others, as their callers saw them.
 * @returns The result, with one check for each successful model call.
 * @example
 * ```ts
 * checkCompletions(calls).violations; // []
 * ```
 */
export function checkCompletions(calls: ObservedCall[]): CheckResult {
    const checkResult: CheckResult = { checks: 0, violations: [] };
    for (const call of calls) {
        if (call.kind !== "model" || call.result.status !== 200) {
            continue;
        }
        checkResult.checks++;
        const { text, finish } = parseCompletion(call.result);
        const expected = computeCompletion(call.prompt);
        const tokenCount = Math.min(expected.tokenCount, call.maximumTokens);
        const wholeText = Array.from({ length: tokenCount }, (_, index) => expected.token(index)).join("");
        const correct = finish === undefined ? wholeText.startsWith(text) : text === wholeText;
        if (!correct) {
            const position = [...text].findIndex((character, index) => character !== wholeText[index]);
            const detail = `differs at ${position}: got ${text.length} characters, finish ${finish}`;
            checkResult.violations.push(`${call.label} (${call.result.requestId}) ${detail}`);
        }
    }
    return checkResult;
}
