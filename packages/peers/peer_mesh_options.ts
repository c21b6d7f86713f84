import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica, StorePosition } from "../replica/mod.ts";
import type { CellState } from "./cell_state.ts";
import type { Peer } from "./peer.ts";
import type { PeerReport } from "./peer_report.ts";

/** Dependencies of {@linkcode PeerMesh}. */
export interface PeerMeshOptions {
    self: Peer;
    /** Addresses of instances to pull from before the store has responded. */
    seedAddresses: string[];
    /** Whether all instances start for the first time, so that no other one knows anything. */
    isFirstStart: boolean;
    store: CoordinationStore;
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
    /** Creates this instance's report; undefined if nothing has changed since the last one and `force` is false. */
    createReport(force: boolean): Omit<PeerReport, keyof Peer> | undefined;
    /** Whether this instance's last read of the store succeeded. */
    readsStore(): boolean;
    /** Called when a peer has a newer position whose changes have not arrived. */
    onNewerPosition(position: StorePosition): void;
    /** Window of the rate limits in milliseconds. */
    usageWindowMilliseconds: number;
    /** Called for each report of a member of the cell. */
    onReport(report: PeerReport): void;
    /** Creates the state of this instance's cell, from what its members have reported. */
    createCellState(): CellState;
    /** Called with the state of all other cells together. */
    onFleetState(state: CellState): void;
}
