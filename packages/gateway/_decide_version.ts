import type { RunTrace } from "./run_trace.ts";

/**
 * Decides which software version began a stream, by elimination: every process that may have written it must be of one version.
 * Where processes can't tell, one version must have written behind the prompt, or be the one that a record claims.
 *
 * @param traces What each process shows of the stream.
 * @param claimedVersion Version that a record names without saying which process wrote the stream, if there is one.
 * @returns The version, or undefined if it remains open.
 */
export function decideVersion(traces: RunTrace[], claimedVersion: string | undefined): string | undefined {
    const running = traces.find(({ kind }) => kind === "runs");
    if (running) {
        return running.version;
    }
    if (traces.some(({ kind }) => kind === "silent")) {
        return undefined;
    }
    const readers = traces.filter(({ kind }) => kind === "read" || kind === "generated");
    const [version, ...others] = new Set(readers.map(({ version }) => version));
    if (version === undefined || others.length > 0) {
        return undefined;
    }
    const isEliminated = traces.every(trace => trace.kind !== "untold" || trace.version === version);
    const hasWritten = readers.some(({ kind }) => kind === "generated") || claimedVersion === version;
    return isEliminated || hasWritten ? version : undefined;
}
