import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { LoadPolicies } from "../decisions/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { MemoryBudget } from "../memory/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { KnownPeer } from "../peers/mod.ts";
import type { PromptMemory } from "../prompt_memory/mod.ts";
import type { PromptPartRegistry } from "../prompt_parts/mod.ts";
import type { ReachabilityMonitor } from "../reachability/mod.ts";
import type { EngineSpeeds } from "../speeds/mod.ts";
import type { StageWork } from "../stages/mod.ts";
import type { StreamVersions } from "../stream_versions/mod.ts";
import type { AnswerEndCheck } from "./answer_end_check.ts";
import type { CrashRegistry } from "./crash_registry.ts";
import type { DirectoryUpdater } from "./directory_updater.ts";
import type { EngineProcesses } from "./engine_processes.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { LeavingServers } from "./leaving_servers.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { ServerAvailability } from "./server_availability.ts";
import type { ServerClient } from "./server_client.ts";
import type { ServerEndProbe } from "./server_end_probe.ts";
import type { ServerLimits } from "./server_limits.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";
import type { ServerSubset } from "./server_subset.ts";
import type { ServiceRollouts } from "./service_rollouts.ts";

/** Objects that the parts of the gateway share. */
export interface GatewayContext {
    /** Current settings. */
    settings: () => GatewaySettings;
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
    /** Finds out which process of an engine writes a stream. */
    engineProcesses: EngineProcesses;
    /** Encodes what the operator reads of a roll-out. */
    encodeRolloutStatus: GatewayAdapter["encodeRolloutStatus"];
    directory: Directory;
    serverLoads: ServerLoadTracker;
    /** Divides requests between the versions of servers while roll-outs last. */
    rollouts: ServiceRollouts;
    /** Sends requests to backend servers. */
    serverClient: ServerClient;
    /** Decides which servers may get requests. */
    availability: ServerAvailability;
    /** Servers that have said that they leave. */
    leavingServers: LeavingServers;
    /** Limits that servers have named. */
    serverLimits: ServerLimits;
    /** Policies that decide under load. */
    loadPolicies: LoadPolicies;
    /** Speeds of the engines, learned from runs. */
    engineSpeeds: EngineSpeeds;
    /** What engines are expected to keep of prompts; undefined if the settings turn it off. */
    promptMemory: PromptMemory | undefined;
    /** Engine time that requests take in each stage; undefined if the settings turn it off. */
    stageWork: StageWork | undefined;
    /** Decides whether this instance is partitioned from all backend servers. */
    reachability: ReachabilityMonitor;
    retryBudget: RetryBudget;
    crashRegistry: CrashRegistry;
    /** Parts of prompts that crash servers. */
    promptParts: PromptPartRegistry;
    /** Finds out whether a server whose connection broke has ended. */
    serverEndProbe: ServerEndProbe;
    /** Finds out whether the end of a connection was the end of an answer. */
    answerEndCheck: AnswerEndCheck;
    /** Lists the other instances. */
    peers(): KnownPeer[];
    /** Number of instances that share the fleet's limits, at least 1. */
    instanceCount(): number;
    /** Time in milliseconds between two reports of a peer, and so about the age of peers' loads. */
    reportPeriodMilliseconds(): number;
    /**
     * Weight, up to 1, of peers' requests and prefills in the load of a server. It is lower in a large fleet, where
     * reports arrive late and short requests have ended by then.
     */
    peerLoadWeight(): number;
    /** Selects the servers that this instance prefers. */
    serverSubset: ServerSubset;
    /** Decides whether the directory is recent enough to accept API keys and to deny unknown routes and keys. */
    directoryUpdater: DirectoryUpdater;
    /** Finds out which software version began a stream. */
    streamVersions: StreamVersions;
    /** Memory that requests and answers may hold. */
    memory: MemoryBudget;
    clock: SuspensionAwareClock;
    metrics: Metrics;
    logger: Logger;
}
