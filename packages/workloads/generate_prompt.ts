import type { RandomSource } from "../randomness/mod.ts";
import type { Workload } from "./workload.ts";

const BYTES_PER_TOKEN = 4;

/**
 * Makes a prompt: the preamble that all share, a customer's history, and a label by which the request is known again.
 *
 * @param workload The workload.
 * @param random Source of randomness.
 * @param label The label.
 * @returns The prompt.
 * @example
 * ```ts
 * promptOf(workload, new RandomSource(1), "organisation-1:17");
 * ```
 */
export function generatePrompt(workload: Workload, random: RandomSource, label: string): string {
    const preamble = fill("House preamble. ", workload.sharedPrefixTokens);
    const customer = random.integer(1, workload.endUsers);
    // The same customer always has the same history.
    const { lowest, highest } = workload.historyTokens;
    const historyTokens = lowest + customer * 7_919 % (highest - lowest);
    return `${preamble}${fill(`Customer ${customer} said. `, historyTokens)}[[${label}]]`;
}

function fill(text: string, tokens: number): string {
    const characters = tokens * BYTES_PER_TOKEN;
    return text.repeat(Math.ceil(characters / text.length)).slice(0, characters);
}
