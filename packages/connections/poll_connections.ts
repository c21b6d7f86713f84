import { setImmediate } from "node:timers/promises";

/**
 * Waits until the event loop has polled the connections once more. What has arrived meanwhile, a request or the end of a
 * connection, lies in the kernel's buffer until then.
 *
 * @returns A promise that resolves after the poll.
 * @example
 * ```ts
 * await pollConnections();
 * ```
 */
export async function pollConnections(): Promise<void> {
    // The first turn may be the one that has polled already.
    await setImmediate();
    await setImmediate();
}
