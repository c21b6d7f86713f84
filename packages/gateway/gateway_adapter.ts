import type { CoordinationStore } from "../coordination/mod.ts";
import type { DirectoryEvent } from "../directory/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemChange } from "../replica/mod.ts";
import type { RolloutStatus } from "../rollouts/mod.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

/** Names, formats and calls of the platform that the gateway runs on. */
export interface GatewayAdapter {
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    /** Key prefix of the stored items to follow: servers, drains, the configuration and the instances' own items. */
    itemPrefix: string;
    /** Path of the load balancer's readiness check. */
    readinessPath: string;
    /** Decodes a change of a stored item; undefined for other kinds of items. */
    decodeItem(change: ItemChange): DirectoryEvent | undefined;
    /** Encodes what the operator reads of a roll-out as an item of the store. */
    encodeRolloutStatus(status: RolloutStatus): { key: string; value: string; };
    /** Connects to the store. */
    openStore(address: string, metrics: Metrics): CoordinationStore;
}
