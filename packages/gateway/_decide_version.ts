import type { RunTrace } from "./run_trace.ts";

/**
 * Decides which software version began a stream from what the processes of a service's engines show of it: all that have read its whole
 * prompt must be of one version. What processes that can't tell may have run is passed over.
 *
 * @param traces What each process shows of the stream.
 * @param claimedVersion Version that a record names without saying which process wrote the stream; another one must not contradict it.
 * @returns The version, or undefined if it remains open.
 */
export function decideVersion(traces: RunTrace[], claimedVersion: string | undefined): string | undefined {
    const running = traces.find(({ kind }) => kind === "runs");
    if (running) {
        return running.version;
    }
    const readers = traces.filter(({ kind }) => kind === "read");
    const [version, ...others] = new Set(readers.map(reader => reader.version));
    const isOpen = others.length > 0
        || traces.some(trace => trace.kind === "silent" || trace.kind === "prefilled" && trace.version !== version);
    return isOpen || claimedVersion !== undefined && claimedVersion !== version ? undefined : version;
}
