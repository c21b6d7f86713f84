import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { Peer } from "./peer.ts";

/** What a {@linkcode ReplicaExchange} works with. */
export interface ReplicaExchangeOptions {
    self: Peer;
    pool: InstancePool;
    server: InstanceServer;
    /** Addresses that may be asked before any peer is known. */
    seedAddresses: string[];
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
    /** Lists the other instances. */
    peers(): KnownPeer[];
    /** Whether this instance's last read of the store succeeded. */
    readsStore(): boolean;
    /** Told that a peer knows a revision whose changes have not come. */
    onNewerRevision(revision: number): void;
}
