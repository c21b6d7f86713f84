/** Runs at the usual speed that are added to those of each engine, so that few runs change little. */
const CREDITED_RUNS = 2;
/** Least standard deviation of the logarithm of one run's speed. */
const LEAST_DEVIATION = 0.25;
/** Standard errors by which the mean of an engine must differ from 0. */
const CONFIDENT_ERRORS = 3;
/** Least weight of runs by which an engine's speed is judged. */
const LEAST_WEIGHT = 3;

/** Runs of one engine, as one instance knows them. */
interface Evidence {
    weight: number;
    mean: number;
    meanSquare: number;
}

/** Pools what several instances know of one engine, and says how sure it is. */
export function estimateSpeed(
    evidence: readonly Evidence[],
): { weight: number; logarithm: number; isConfident: boolean; } {
    const weight = evidence.reduce((sum, entry) => sum + entry.weight, 0);
    if (weight === 0) {
        return { weight: 0, logarithm: 0, isConfident: false };
    }
    const mean = evidence.reduce((sum, entry) => sum + entry.weight * entry.mean, 0) / weight;
    const meanSquare = evidence.reduce((sum, entry) => sum + entry.weight * entry.meanSquare, 0) / weight;
    const deviation = Math.max(LEAST_DEVIATION, Math.sqrt(Math.max(0, meanSquare - mean ** 2)));
    return {
        weight,
        logarithm: mean * weight / (weight + CREDITED_RUNS),
        isConfident: weight >= LEAST_WEIGHT && Math.abs(mean) * Math.sqrt(weight) > CONFIDENT_ERRORS * deviation,
    };
}
