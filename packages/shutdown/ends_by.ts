import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";

/**
 * Waits for a promise, until a time at most.
 *
 * @param promise The promise.
 * @param latest Monotonic time in milliseconds.
 * @returns Whether the promise was resolved by then.
 * @throws {unknown} If the promise is rejected by then.
 * @example
 * ```ts
 * if (!await endsBy(server.close(), performance.now() + 1_000)) {
 *     server.closeAllConnections();
 * }
 * ```
 */
export async function endsBy(promise: Promise<unknown>, latest: number): Promise<boolean> {
    const stop = new AbortController();
    const ended = promise.then(() => true);
    const late = sleep(Math.max(0, latest - monotonicMilliseconds()), stop.signal).then(() => false);
    try {
        return await Promise.race([ended, late]);
    }
    finally {
        stop.abort();
    }
}
