import type { IncomingMessage } from "node:http";
import { estimateHeadMemory } from "../memory/mod.ts";

/** Strings that a field takes in a list of fields. */
const PARTS_PER_FIELD = 2;

/**
 * Computes how much memory the head of a request takes until its response has ended.
 *
 * @param incoming The request.
 * @returns Memory in bytes.
 * @example
 * ```ts
 * const memory = RequestMemory.tryOpen(budget, computeHeadMemory(incoming), 3_000);
 * ```
 */
export function computeHeadMemory(incoming: IncomingMessage): number {
    const { rawHeaders, url = "" } = incoming;
    const bytes = rawHeaders.reduce((sum, part) => sum + part.length, url.length);
    return estimateHeadMemory(bytes, rawHeaders.length / PARTS_PER_FIELD);
}
