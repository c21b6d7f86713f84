/**
 * Reads the process's monotonic clock, which keeps running while the process is paused.
 *
 * @returns Milliseconds since an arbitrary origin.
 * @example
 * ```ts
 * const started = monotonicMilliseconds();
 * const elapsed = monotonicMilliseconds() - started;
 * ```
 */
export function monotonicMilliseconds(): number {
    return performance.now();
}
