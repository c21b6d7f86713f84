/** Options of {@linkcode OnceShard}. */
export interface OnceShardOptions {
    /** Reads the wall clock in milliseconds. Default: `Date.now`. */
    now?: () => number;
    /** Longest time in milliseconds for a commit. Default: 2,000. */
    commitDeadlineMilliseconds?: number;
}
