import type { ConnectionBounds } from "./connection_bounds.ts";

/** Descriptors for files and for the runtime itself, and the largest share of a small limit that is kept for them. */
const FILE_DESCRIPTORS = 200;
const MAXIMUM_FILE_SHARE = 0.25;
/** Shares of the other descriptors. The rest, as many as both, is for servers, the store, other instances and checks. */
const CALLER_SHARE = 0.45;
const REFUSAL_SHARE = 0.05;

/**
 * Computes how many connections callers may hold, so that each of their requests can have a connection to a server, and
 * the store, the other instances, the readiness check and files have theirs.
 *
 * @param descriptors Limit of the process's file descriptors; undefined if it is not known.
 * @param maximumConnections Most connections that are wanted in any case. Default: no limit.
 * @returns The bounds; infinite for callers if there is none.
 * @example
 * ```ts
 * computeConnectionBounds(4_100); // { callers: 1755, refusals: 195 }
 * ```
 */
export function computeConnectionBounds(
    descriptors: number | undefined,
    maximumConnections = Infinity,
): ConnectionBounds {
    const limit = descriptors ?? Infinity;
    const sockets = limit - Math.min(FILE_DESCRIPTORS, limit * MAXIMUM_FILE_SHARE);
    const callers = Math.min(maximumConnections, Math.max(1, Math.floor(sockets * CALLER_SHARE)));
    const refusals = Math.min(sockets, callers / CALLER_SHARE) * REFUSAL_SHARE;
    return { callers, refusals: Math.max(2, Math.ceil(refusals)) };
}
