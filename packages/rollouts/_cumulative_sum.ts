/** Lowest fraction of bad outcomes that the old version is credited with, so that a single one decides nothing. */
const LOWEST_BASELINE = 0.02;
/** Outcomes at the lowest baseline that are added to the old version's. */
const CREDITED_OUTCOMES = 10;
/** Increase of the fraction of bad outcomes that makes a version bad. */
const INCREASE = 0.1;
const HIGHEST_FRACTION = 0.99;
/** Log-likelihood ratio at which the version is bad: at least 5,000 outcomes on average between two false alarms. */
const THRESHOLD = Math.log(5_000);

/**
 * Cumulative sum of log-likelihood ratios: the sequential probability ratio test (A. Wald, Sequential Tests of Statistical
 * Hypotheses, 1945) of "as many bad outcomes as the old version" against "more", begun anew whenever it favours the first
 * (E. S. Page, Continuous Inspection Schemes, 1954), so that a version that turns bad late is found as soon.
 */
export class CumulativeSum {
    #sum = 0;

    /** Evidence for "more", as a fraction of the threshold. */
    get evidence(): number {
        return this.#sum / THRESHOLD;
    }

    /** Adds outcomes of the new version, next to the old version's at the same time. */
    add(bad: number, good: number, old: { bad: number; all: number; }): void {
        const observed = (old.bad + LOWEST_BASELINE * CREDITED_OUTCOMES) / (old.all + CREDITED_OUTCOMES);
        const baseline = Math.min(HIGHEST_FRACTION - INCREASE, Math.max(LOWEST_BASELINE, observed));
        const increased = baseline + INCREASE;
        const ratio = bad * Math.log(increased / baseline) + good * Math.log((1 - increased) / (1 - baseline));
        this.#sum = Math.max(0, this.#sum + ratio);
    }
}
