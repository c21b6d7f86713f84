import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CellState } from "./cell_state.ts";
import type { MemberList } from "./member_list.ts";
import type { Peer } from "./peer.ts";

/** Dependencies of {@linkcode CellExchange}. */
export interface CellExchangeOptions {
    self: Peer;
    pool: Pick<InstancePool, "broadcast">;
    server: Pick<InstanceServer, "handle">;
    members: MemberList;
    /** Window of the rate limits in milliseconds. */
    usageWindowMilliseconds: number;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
    /** Creates the state of this cell from the reports of its members. */
    createState(): CellState;
    /** Called with the state of all other cells. */
    onState(state: CellState): void;
}
