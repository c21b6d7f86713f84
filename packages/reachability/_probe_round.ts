import type { RegisteredServer } from "../directory/mod.ts";
import { logFailure } from "../logs/mod.ts";
import type { ProbeResult } from "./probe_result.ts";
import type { ReachabilityMonitorOptions } from "./reachability_monitor_options.ts";

/** Time in milliseconds that a round takes at most, unless the process or its machine has stood still meanwhile. */
const LIMIT_MILLISECONDS = 800;

/** Results of probes that were sent at the same time. */
interface ProbeRound {
    results: Map<string, ProbeResult>;
    /** Whether one was answered. */
    isAnswered: boolean;
    /** Whether the process has stood still meanwhile, so that probes without an answer show nothing. */
    isStale: boolean;
}

/** Probes servers at the same time. */
export async function runProbeRound(
    servers: RegisteredServer[],
    { probe, clock, logger, metrics }: ReachabilityMonitorOptions,
): Promise<ProbeRound> {
    const startedAt = clock.now();
    const results = new Map<string, ProbeResult>();
    await Promise.all(servers.map(async server => {
        let result: ProbeResult = "answered";
        try {
            result = await probe(server);
        }
        catch (error) {
            // A fault of the router shows nothing of the link.
            logFailure(logger, "probe of a link failed", { server: server.id })(error);
        }
        results.set(server.id, result);
        metrics.increment("reachability_probes_total", { result });
    }));
    return {
        results,
        isAnswered: [...results.values()].includes("answered"),
        isStale: clock.now() - startedAt > LIMIT_MILLISECONDS,
    };
}
