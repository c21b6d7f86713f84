/**
 * Waits for a promise for a limited time.
 *
 * @param promise The promise.
 * @param milliseconds Longest time to wait.
 * @returns Its value; undefined if it does not settle in time.
 * @throws {unknown} What the promise rejects with, if it does so in time.
 * @example
 * ```ts
 * await within(fetchVersion(), 500); // "v2"
 * ```
 */
export async function within<Value>(promise: Promise<Value>, milliseconds: number): Promise<Value | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), milliseconds);
    });
    try {
        return await Promise.race([promise, late]);
    }
    finally {
        clearTimeout(timer);
    }
}
