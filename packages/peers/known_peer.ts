import type { Peer } from "./peer.ts";

/** Another instance with the state that it last reported. */
export interface KnownPeer {
    peer: Peer;
    /** Monotonic time in milliseconds of its last report; negative infinity before the first. */
    lastReportAt: number;
    /** Whether its last read of the store succeeded. */
    readsStore: boolean;
    /** Whether it reached backend servers at that time; undefined if it did not say. */
    serversReachable: boolean | undefined;
}
