/**
 * Waits until a time has passed or the signal is aborted.
 *
 * @param milliseconds Time to wait.
 * @param signal Ends the wait early.
 * @returns A promise that resolves in both cases.
 * @example
 * ```ts
 * await sleep(10);
 * ```
 */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal?.addEventListener("abort", finish, { once: true });
    });
}
