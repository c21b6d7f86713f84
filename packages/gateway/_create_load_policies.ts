import { randomInt } from "node:crypto";
import { LoadPolicies, type OrganisationRate } from "../decisions/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { askedByAll } from "./_asked_by_all.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { SharedUsage } from "./shared_usage.ts";

const MAXIMUM_SEED = 2 ** 32;

/** Shared objects that the policies depend on. */
interface Dependencies {
    directory: Directory;
    metrics: Metrics;
    logger: Logger;
    settings: () => GatewaySettings;
}

/**
 * Creates the policies that decide under load. For each service with several urgencies, there is a log line when they
 * change, and a gauge of the tokens that wait.
 */
export function createLoadPolicies(dependencies: Dependencies, usage: SharedUsage): LoadPolicies {
    const { directory, metrics, logger, settings } = dependencies;
    const { fleetUrgency } = settings();
    const policies = new LoadPolicies(
        () => fleetUrgency ? directory.configuration : undefined,
        () => listRates(directory, usage),
        randomInt(MAXIMUM_SEED),
    );
    const known = new Set<number>();
    const logged = new Map<string, string>();
    directory.onBatch(() => {
        for (const { name } of directory.configuration?.services.filter(({ engine }) => engine) ?? []) {
            const urgencies = policies.urgencies.list(name);
            if ((logged.get(name) ?? "") === urgencies.join() || !policies.urgencies.hasSeveral(name)) {
                continue;
            }
            logged.set(name, urgencies.join());
            logger.info("urgencies of a service", { service: name, urgencies });
            for (const urgency of urgencies.filter(listed => !known.has(listed))) {
                known.add(urgency);
                const read = () => policies.demand.ownWaitingTokens(urgency);
                metrics.gauge("decode_waiting_tokens", read, { urgency: String(urgency) });
            }
        }
    });
    return policies;
}

/** Lists what organisations ask for within their limits, at all instances. */
function listRates(directory: Directory, usage: SharedUsage): OrganisationRate[] {
    const asked = askedByAll(usage);
    const limited = directory.configuration?.organisations?.filter(({ ratePerSecond }) => ratePerSecond > 0) ?? [];
    return limited.map(({ name, ratePerSecond, burst }) => ({
        name,
        weight: ratePerSecond,
        askedRate: Math.min(asked[name] ?? 0, ratePerSecond + burst),
    }));
}
