/**
 * Limits the requests of one instance to a version under trial to a share of all its requests for the service. An
 * instance counts only its own, so the bound holds without any message: an initial credit that is drawn evenly from 0 to
 * 1 makes the sum over all instances the share of all requests on average (systematic sampling; W. G. Cochran, Sampling
 * Techniques, chapter 8). One request is kept for the routes that the version has seen least, so that a route with few
 * requests is judged too (the same, chapter 5: equal allocation to strata).
 *
 * @example
 * ```ts
 * const limit = new ExposureLimit(Math.random());
 * limit.count("status", limit.admits("status", 0.06));
 * ```
 */
export class ExposureLimit {
    #requests = 0;
    #exposed = 0;
    /** Requests that the version got, by route, also of routes of which it got none. */
    readonly #exposedByRoute = new Map<string, number>();

    /**
     * @param credit Requests to the version beyond the share.
     */
    constructor(private readonly credit: number) {}

    /** Requests that the version got from this instance. */
    get exposed(): number {
        return this.#exposed;
    }

    /**
     * Counts a request that is sent.
     *
     * @param route Name of its route.
     * @param isExposed Whether it goes to the version under trial.
     */
    count(route: string, isExposed: boolean): void {
        const exposed = isExposed ? 1 : 0;
        this.#requests++;
        this.#exposed += exposed;
        this.#exposedByRoute.set(route, (this.#exposedByRoute.get(route) ?? 0) + exposed);
    }

    /**
     * Returns whether the next request may go to the version under trial.
     *
     * @param route Name of its route.
     * @param share Fraction of the requests that the version may get, from 0 to 1.
     * @returns Whether it may; never with a share of 0.
     */
    admits(route: string, share: number): boolean {
        const remaining = this.credit + share * (this.#requests + 1) - this.#exposed;
        const isLeastExposed = (this.#exposedByRoute.get(route) ?? 0) <= Math.min(...this.#exposedByRoute.values());
        return share > 0 && remaining >= (isLeastExposed ? 1 : 2);
    }
}
