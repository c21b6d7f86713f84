import type { RunTrace } from "./run_trace.ts";

/**
 * Decides which software version began a stream from what the processes of a service's engines show of it: all that have read its whole
 * prompt must be of one version, and none may be left of which nobody knows what it was.
 *
 * @param traces What each process shows of the stream.
 * @param claimedVersion Version that a record names without saying which process wrote the stream; another one must not contradict it.
 * @returns The version, or undefined if it remains open.
 */
export function decideVersion(traces: RunTrace[], claimedVersion: string | undefined): string | undefined {
    const running = new Set(traces.filter(({ kind }) => kind === "runs").map(trace => trace.version));
    if (running.size > 0) {
        // An engine that was given up before its first event may still run it.
        return running.size === 1 ? [...running][0] : undefined;
    }
    const readers = traces.filter(({ kind }) => kind === "read");
    const [version, ...others] = new Set(readers.map(reader => reader.version));
    if (others.length > 0 || traces.some(trace => isOpen(trace, version, claimedVersion))) {
        return undefined;
    }
    return claimedVersion === undefined || claimedVersion === version ? version : undefined;
}

/** Whether a process may have begun the stream at another version than the one that all readers are of. */
function isOpen(trace: RunTrace, version: string | undefined, claimedVersion: string | undefined): boolean {
    switch (trace.kind) {
        case "silent":
            return true;
        case "prefilled":
            return trace.version !== version;
        case "untold":
            return trace.version === undefined && claimedVersion === undefined;
        default:
            return false;
    }
}
