import type { Peer } from "./peer.ts";

/** Another instance with what it last said of itself. */
export interface KnownPeer {
    peer: Peer;
    /** Monotonic time in milliseconds of its last report; negative infinity before the first. */
    lastReportAt: number;
    /** Whether its last read of the store succeeded. */
    readsStore: boolean;
}
