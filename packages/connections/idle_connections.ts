import type { Socket } from "node:net";

/** Connections of callers without a request under way. */
export interface IdleConnections {
    /**
     * Tells since when a connection has waited for a request.
     *
     * @param socket The connection.
     * @returns Monotonic time in milliseconds; undefined if a request or an answer is under way, or it is being closed.
     */
    idleSince(socket: Socket): number | undefined;

    /**
     * Closes an idle connection, since others need its place.
     *
     * @param socket The connection.
     */
    closeForOthers(socket: Socket): void;
}
