import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica, StorePosition } from "../replica/mod.ts";
import type { MemberList } from "./member_list.ts";
import type { Peer } from "./peer.ts";

/** Dependencies of {@linkcode ReplicaExchange}. */
export interface ReplicaExchangeOptions {
    self: Peer;
    pool: InstancePool;
    server: InstanceServer;
    members: MemberList;
    /** Addresses of instances to pull from before any peer is known. */
    seedAddresses: string[];
    /** Whether all instances start for the first time, so that no other one knows anything. */
    isFirstStart: boolean;
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
    /** Whether this instance's last read of the store succeeded. */
    readsStore(): boolean;
    /** Called when a peer has a newer position whose changes have not arrived. */
    onNewerPosition(position: StorePosition): void;
}
