import type { OrganisationRate } from "./organisation_rate.ts";

/**
 * Computes the max-min fair level: the rate for each unit of weight up to which every organisation can be served.
 *
 * @param rates What the organisations ask for.
 * @param capacity Units per second that can be served.
 * @returns The level; infinite if all can be served.
 * @example
 * ```ts
 * const quiet = { name: "acme", weight: 1, askedRate: 10 };
 * computeFairLevel([quiet, { name: "globex", weight: 1, askedRate: 70 }], 50); // 40
 * ```
 */
export function computeFairLevel(rates: OrganisationRate[], capacity: number): number {
    const ascending = rates
        .filter(({ weight }) => weight > 0)
        .map(({ weight, askedRate }) => ({ weight, askedRate, level: askedRate / weight }))
        .sort((left, right) => left.level - right.level);
    let weightLeft = ascending.reduce((sum, { weight }) => sum + weight, 0);
    let capacityLeft = capacity;
    for (const { weight, askedRate, level } of ascending) {
        if (level * weightLeft > capacityLeft) {
            return capacityLeft / weightLeft;
        }
        capacityLeft -= askedRate;
        weightLeft -= weight;
    }
    return Number.POSITIVE_INFINITY;
}
