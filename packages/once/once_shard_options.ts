import type { CommitRateLimiter } from "./commit_rate_limiter.ts";

/** Options of {@linkcode OnceShard}. */
export interface OnceShardOptions {
    /** Reads the wall clock in milliseconds. Default: `Date.now`. */
    now?: () => number;
    /** Spaces the commits. Default: they are not spaced. */
    commitRateLimiter?: CommitRateLimiter;
    /** Longest time in milliseconds for a commit. Default: 2,000. */
    commitDeadlineMilliseconds?: number;
}
