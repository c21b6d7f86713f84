import type { CoordinationStore } from "../coordination/mod.ts";
import type { DirectoryEvent } from "../directory/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemChange } from "../replica/mod.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

/** What a platform brings: its names, formats and calls. */
export interface GatewayAdapter {
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    /** Prefix of the stored items to follow: those of servers, drains and the configuration, and the instances' own. */
    itemPrefix: string;
    /** Path of the readiness check. */
    readinessPath: string;
    /** Decodes a change of a stored item. */
    decodeItem(change: ItemChange): DirectoryEvent | undefined;
    /** Connects to the store. */
    openStore(address: string, metrics: Metrics): CoordinationStore;
}
