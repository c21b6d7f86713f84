/** Adds units, multiplied by a factor and rounded, to sums by organisation. */
export function addUnits(sums: Record<string, number>, units: Record<string, number>, factor: number): void {
    for (const [organisation, amount] of Object.entries(units)) {
        sums[organisation] = Math.round((sums[organisation] ?? 0) + amount * factor);
    }
}
