import type { OutcomeKey } from "./outcome_key.ts";

/**
 * Encodes the key of a count of outcomes.
 *
 * @param key The key.
 * @returns A text in which the route comes last, since it may hold any character.
 * @example
 * ```ts
 * encodeOutcomeKey({ order: "7", period: 0, route: "status", version: "new", bucket: 9 }); // "7|0|new|9|status"
 * ```
 */
export function encodeOutcomeKey(key: OutcomeKey): string {
    const { order, period, route, version, bucket } = key;
    return [order, period, version, bucket ?? "failed", route].join("|");
}
