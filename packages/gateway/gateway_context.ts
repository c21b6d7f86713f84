import type { BackendConnectionPool } from "../backends/mod.ts";
import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { CrashRegistry } from "./crash_registry.ts";
import type { DirectoryUpdater } from "./directory_updater.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";
import type { ServerSubset } from "./server_subset.ts";

/** What the parts of the gateway share. */
export interface GatewayContext {
    /** Present settings. */
    settings: () => GatewaySettings;
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    directory: Directory;
    serverLoads: ServerLoadTracker;
    connections: BackendConnectionPool;
    retries: RetryBudget;
    crashes: CrashRegistry;
    /** Number of instances that share the fleet's limits, at least 1. */
    instanceCount(): number;
    /** Time in milliseconds between two reports of a peer; loads of peers are about as old. */
    reportPeriodMilliseconds(): number;
    /** Part, up to 1, that peers' loads tell of what is short-lived, as their reports come late in a large fleet. */
    peerLoadWeight(): number;
    /** Servers that this instance prefers. */
    subset: ServerSubset;
    /** How old and of which version what the directory holds is. */
    directoryUpdater: DirectoryUpdater;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
}
