import { setImmediate } from "node:timers/promises";

/**
 * Waits until the event loop has polled the connections once more. A request that has arrived meanwhile lies in the
 * kernel's buffer until then: closing its connection would lose it, although it came in time.
 */
export async function readArrivedBytes(): Promise<void> {
    // The first turn may be the one that has polled already.
    await setImmediate();
    await setImmediate();
}
