/** Hands an error that nobody can receive to the process's rule for uncaught exceptions. */
export function throwUncaught(error: unknown): void {
    queueMicrotask(() => {
        throw error;
    });
}
