import type { Logger } from "../logs/mod.ts";
import type { CommitRateLimiter } from "./commit_rate_limiter.ts";
import type { OnceRecord } from "./once_record.ts";

/** Options of {@linkcode OnceShard}. */
export interface OnceShardOptions {
    /** Returns the wall-clock time in milliseconds. Default: `Date.now`. */
    now?: () => number;
    /** Limits the rate of commits. Default: no limit. */
    commitRateLimiter?: CommitRateLimiter;
    /**
     * Collects what other members know of the shard; undefined while one that may know some records does not respond.
     * Default: nobody else knows any.
     */
    collectRecords?: () => Promise<Record<string, OnceRecord>[] | undefined>;
    /** Receives errors of commits. Default: they are only answered. */
    logger?: Logger;
    /** Maximum time in milliseconds for a commit. Default: 2,000. */
    commitDeadlineMilliseconds?: number;
}
