const BUCKETS_PER_DOUBLING = 2;

/** Buckets of response times, each half a doubling wide. */
export const responseTimeBuckets = {
    /** Number of the bucket of a time in milliseconds. */
    of: (milliseconds: number): number => Math.round(BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, milliseconds))),
    /** Buckets by which a response is later than the old version's median one if it counts as slow: 2.8 times. */
    slowDistance: 3,
};
