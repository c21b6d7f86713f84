import type { BackendConnectionPool } from "../backends/mod.ts";
import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { PromptMemory } from "../prompt_memory/mod.ts";
import { ReachabilityMonitor } from "../reachability/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { EngineSpeeds } from "../speeds/mod.ts";
import { StageWork } from "../stages/mod.ts";
import { probeServer } from "./_probe_server.ts";
import { EngineClient } from "./engine_client.ts";
import { EngineProcesses } from "./engine_processes.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { LeavingServers } from "./leaving_servers.ts";
import { PausedServers } from "./paused_servers.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import { ServerAvailability } from "./server_availability.ts";
import { ServerClient } from "./server_client.ts";
import { ServerLimits } from "./server_limits.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";
import { ServiceRollouts } from "./service_rollouts.ts";
import type { SharedUsageOptions } from "./shared_usage_options.ts";

/** Dependencies of the access to servers. */
interface ServerAccessOptions {
    connectionPool: BackendConnectionPool;
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    directory: Directory;
    serverLoads: ServerLoadTracker;
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    /** Usage of limits over all instances. */
    usage: Omit<SharedUsageOptions, "windowMilliseconds">;
    /** Position of this instance, from 0, in an order of all instances that differs by server. */
    rankOf: (server: string) => number;
    /** Current settings. */
    settings: () => GatewaySettings;
    metrics: Metrics;
    logger: Logger;
}

/**
 * Creates what sends requests to servers and keeps what the servers say of themselves in their responses.
 *
 * @param options Dependencies.
 * @returns The objects, by their names in the gateway's context.
 * @example
 * ```ts
 * const { serverClient, availability } = createServerAccess(options);
 * ```
 */
export function createServerAccess(
    options: ServerAccessOptions,
): Pick<
    GatewayContext,
    | "availability"
    | "engineProcesses"
    | "engineSpeeds"
    | "leavingServers"
    | "promptMemory"
    | "reachability"
    | "rollouts"
    | "serverClient"
    | "serverLimits"
    | "stageWork"
> {
    const { connectionPool, headers, directory, serverLoads, settings, metrics, logger } = options;
    const leavingServers = new LeavingServers({
        ...options,
        drainMilliseconds: () => settings().bounds.drainMilliseconds,
    });
    const pausedServers = new PausedServers({
        ...options,
        maximumMilliseconds: () => settings().maximumPauseMilliseconds,
    });
    const serverLimits = new ServerLimits({ ...options, ...options.usage });
    const setFactor = (id: string, factor: number) => {
        serverLoads.get(id).speedFactor = factor;
    };
    const engineSpeeds = new EngineSpeeds(directory, setFactor, logger, settings().engineSpeeds);
    metrics.gauge("engines_of_differing_speed", () => engineSpeeds.differing);
    const promptMemory = settings().promptMemory ? new PromptMemory(options.usage.instanceCount) : undefined;
    metrics.gauge("prompt_memory_confidence", () => promptMemory?.confidenceOf("first") ?? 0, { belief: "first" });
    metrics.gauge("prompt_memory_confidence", () => promptMemory?.confidenceOf("sent") ?? 0, { belief: "sent" });
    const availability = new ServerAvailability(directory, leavingServers, pausedServers, serverLimits);
    const reachability: ReachabilityMonitor = new ReachabilityMonitor({
        ...options,
        servers: () => [...directory.servers.values()].filter(server => availability.isUsable(server)),
        probe: async server => {
            const service = directory.findService(server.service);
            return service ? await probeServer(server, service, { ...options, serverClient }) : "answered";
        },
    });
    reachability.onChange(isIsolated => {
        if (!isIsolated) {
            serverLoads.forgetFaults();
        }
    });
    const serverClient = new ServerClient(connectionPool, headers, {
        leavingServers,
        pausedServers,
        serverLimits,
        reachability,
    });
    const engineClient = new EngineClient({ ...options, serverClient });
    return {
        engineProcesses: new EngineProcesses({ ...options, engineClient }),
        engineSpeeds,
        promptMemory,
        stageWork: settings().measuredStages ? new StageWork() : undefined,
        serverLimits,
        leavingServers,
        reachability,
        rollouts: new ServiceRollouts({ ...options, ...options.usage }),
        availability,
        serverClient,
    };
}
