import type { CommitRateLimiter } from "./commit_rate_limiter.ts";

/** Options of {@linkcode OnceShard}. */
export interface OnceShardOptions {
    /** Returns the wall-clock time in milliseconds. Default: `Date.now`. */
    now?: () => number;
    /** Limits the rate of commits. Default: no limit. */
    commitRateLimiter?: CommitRateLimiter;
    /** Maximum time in milliseconds for a commit. Default: 2,000. */
    commitDeadlineMilliseconds?: number;
}
