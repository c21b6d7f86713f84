import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import type { Peer } from "./peer.ts";
import type { PeerReport } from "./peer_report.ts";

/** What a {@linkcode PeerMesh} works with. */
export interface PeerMeshOptions {
    self: Peer;
    /** Addresses that may be asked before the store has answered. */
    seedAddresses: string[];
    store: CoordinationStore;
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
    /** Describes this instance; undefined while nothing has changed since the last report. */
    createReport(force: boolean): Omit<PeerReport, keyof Peer> | undefined;
    /** Whether this instance's last read of the store succeeded. */
    readsStore(): boolean;
    /** Told that a peer knows a revision whose changes have not come. */
    onNewerRevision(revision: number): void;
    /** Receives a peer's report. */
    onReport(report: PeerReport): void;
}
