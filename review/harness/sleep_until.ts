/**
 * Waits until a time on the clock of `Date.now()`.
 *
 * @param time Unix milliseconds; a past one ends the wait at once.
 */
export function sleepUntil(time: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, time - Date.now())));
}
