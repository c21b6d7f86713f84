/** What a server has said last. */
export interface KnownLimit {
    startedAt: number;
    /** Requests a second from all instances together; undefined once the server has ended its limit. */
    perSecond: number | undefined;
    /** Time in milliseconds of the answer that said so. */
    at: number;
    /** Whether the server said so to this instance. */
    firsthand: boolean;
    /** Time in milliseconds at which a line last said that the limit is used up. */
    loggedAt: number;
    /** What the other instances have sent to the server; undefined before it was first needed. */
    others: {
        /** Time in milliseconds at which it was computed. */
        at: number;
        /** Version of the usage of which it was computed. */
        version: number;
        spent: number;
        /** Number of peers without a recent report. */
        missing: number;
        /** Number of all instances. */
        instances: number;
    } | undefined;
}
