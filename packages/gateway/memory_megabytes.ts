/** Memory limits of a process in megabytes. */
export const memoryMegabytes = {
    /** Limit that is assumed if the settings name none. */
    default: 200,
    /** Smallest limit that settings may name. */
    least: 16,
    /** Limit below which the budget, a quarter of it, would hold no more than a few requests. */
    leastUsed: 1,
};
