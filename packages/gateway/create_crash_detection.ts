import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { PromptPartRegistry } from "../prompt_parts/mod.ts";
import type { ReachabilityMonitor } from "../reachability/mod.ts";
import { AnswerEndCheck } from "./answer_end_check.ts";
import { CrashRegistry } from "./crash_registry.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { ServerClient } from "./server_client.ts";
import { ServerEndProbe } from "./server_end_probe.ts";
import type { ServerLoadTracker } from "./server_load_tracker.ts";

/** Dependencies of the crash detection. */
interface CrashDetectionOptions {
    adapter: GatewayAdapter;
    serverClient: ServerClient;
    directory: Directory;
    serverLoads: ServerLoadTracker;
    reachability: ReachabilityMonitor;
    /** Returns whether this instance is among the first `count` that probe a blocked part of prompts. */
    isTopRanked(part: string, count: number): boolean;
    metrics: Metrics;
    logger: Logger;
}

/**
 * Creates what finds requests, and parts of prompts, that crash servers.
 *
 * @param options Dependencies.
 * @returns The objects, by their names in the gateway's context.
 * @example
 * ```ts
 * const { crashRegistry, promptParts } = createCrashDetection(options);
 * ```
 */
export function createCrashDetection(
    options: CrashDetectionOptions,
): Pick<GatewayContext, "answerEndCheck" | "crashRegistry" | "promptParts" | "serverEndProbe"> {
    const { adapter, directory, reachability, metrics, logger } = options;
    const promptParts = new PromptPartRegistry(logger, (part, count) => options.isTopRanked(part, count));
    metrics.gauge("prompt_parts_blocked", () => promptParts.blockedParts);
    const crashRegistry = new CrashRegistry(directory, logger, run => promptParts.recordCrash(run), reachability);
    const { headers, engineProtocol } = adapter;
    const serverEndProbe = new ServerEndProbe({ ...options, crashRegistry, headers, engineProtocol });
    const answerEndCheck = new AnswerEndCheck({ ...options, headers, engineProtocol });
    return { answerEndCheck, crashRegistry, promptParts, serverEndProbe };
}
