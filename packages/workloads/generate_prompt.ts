import type { RandomSource } from "../randomness/mod.ts";
import type { Workload } from "./workload.ts";

const BYTES_PER_TOKEN = 4;

/**
 * Generates a prompt from the prefix that all prompts share, an end user's history and a label that identifies the
 * request in traces.
 *
 * @param workload The workload.
 * @param random Source of randomness.
 * @param label The label.
 * @returns The prompt.
 * @example
 * ```ts
 * generatePrompt(workload, new RandomSource(1), "organisation-1:17");
 * ```
 */
export function generatePrompt(workload: Workload, random: RandomSource, label: string): string {
    const sharedPrefix = repeatToLength("House preamble. ", workload.sharedPrefixTokens);
    const endUser = random.integer(1, workload.endUsers);
    // The same end user always has the same history.
    const { lowest, highest } = workload.historyTokens;
    const historyTokens = lowest + endUser * 7_919 % (highest - lowest);
    return `${sharedPrefix}${repeatToLength(`Customer ${endUser} said. `, historyTokens)}[[${label}]]`;
}

/** Repeats a text up to a number of tokens. */
function repeatToLength(text: string, tokens: number): string {
    const characters = tokens * BYTES_PER_TOKEN;
    return text.repeat(Math.ceil(characters / text.length)).slice(0, characters);
}
