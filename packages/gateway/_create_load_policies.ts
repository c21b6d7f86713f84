import { randomInt } from "node:crypto";
import { LoadPolicies } from "../decisions/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Metrics } from "../metrics/mod.ts";

const MAXIMUM_SEED = 2 ** 32;

/** Creates the policies that decide under load, with a gauge of the waiting tokens for each priority of a stream. */
export function createLoadPolicies(directory: Directory, metrics: Metrics): LoadPolicies {
    const policies = new LoadPolicies(() => directory.configuration, randomInt(MAXIMUM_SEED));
    const known = new Set<number>();
    directory.onChange(() => {
        const services = directory.configuration?.services.filter(({ engine }) => engine) ?? [];
        for (const priority of services.flatMap(({ name }) => policies.urgencies.list(name))) {
            if (!known.has(priority)) {
                known.add(priority);
                const read = () => policies.demand.ownWaitingTokens(priority);
                metrics.gauge("decode_waiting_tokens", read, { priority: String(priority) });
            }
        }
    });
    return policies;
}
