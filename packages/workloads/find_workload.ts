import type { EngineDescription } from "../harness/mod.ts";
import type { Workload } from "./workload.ts";

const LIEPKALNS_DOMAINS = ["riga", "tallinn", "vilnius"];
const BLUE_MAHOE_DOMAINS = ["kingston-1", "kingston-2", "kingston-3"];

const LIEPKALNS: Workload = {
    name: "liepkalns",
    failureDomains: LIEPKALNS_DOMAINS,
    engines: createEngines(LIEPKALNS_DOMAINS, 5, 8, 1.5),
    services: 3,
    organisations: createOrganisations([24_000, 16_000, 5_000, 4_000, 3_000]),
    trafficFractions: [0.4, 0.3, 0.12, 0.1, 0.08],
    sharedPrefixTokens: 256,
    historyTokens: { lowest: 400, highest: 3_000 },
    endUsers: 60,
    maximumTokens: { lowest: 40, highest: 200 },
    steadyRequestsPerSecond: 16,
};

const BLUE_MAHOE: Workload = {
    name: "blue-mahoe",
    failureDomains: BLUE_MAHOE_DOMAINS,
    engines: createEngines(BLUE_MAHOE_DOMAINS, 3, 5, 0.5),
    services: 3,
    organisations: createOrganisations([14_000, 10_000, 4_000, 3_000, 3_000]),
    trafficFractions: [0.4, 0.3, 0.12, 0.1, 0.08],
    sharedPrefixTokens: 1_024,
    historyTokens: { lowest: 200, highest: 1_200 },
    endUsers: 100,
    maximumTokens: { lowest: 30, highest: 120 },
    steadyRequestsPerSecond: 11,
};

/**
 * Finds a workload by its name.
 *
 * @param name Name of the workload.
 * @returns The workload; undefined if there is none of that name.
 * @example
 * ```ts
 * findWorkload("liepkalns")?.services; // 3
 * ```
 */
export function findWorkload(name: string): Workload | undefined {
    return [LIEPKALNS, BLUE_MAHOE].find(workload => workload.name === name);
}

/**
 * Creates the engines of a workload. A decode engine has memory for about twenty requests; a prefill costs as much as
 * some tens of output tokens.
 */
function createEngines(
    failureDomains: string[],
    prefillEngines: number,
    decodeEngines: number,
    networkMilliseconds: number,
): EngineDescription[] {
    const domainOf = (index: number) => failureDomains[index % failureDomains.length] ?? "";
    const engine = { networkMilliseconds, prefillTokensPerSecond: 8_000, handleLifetimeMilliseconds: 800 };
    return [
        ...Array.from({ length: prefillEngines }, (_, index): EngineDescription => ({
            name: `prefill-${index + 1}`,
            role: "prefill",
            failureDomain: domainOf(index),
            capacity: 2,
            engine,
        })),
        ...Array.from({ length: decodeEngines }, (_, index): EngineDescription => ({
            name: `decode-${index + 1}`,
            role: "decode",
            failureDomain: domainOf(index),
            capacity: 20,
            engine,
        })),
    ];
}

function createOrganisations(rates: number[]): Workload["organisations"] {
    return Object.fromEntries(rates.map((tokensPerSecond, index) => [`organisation-${index + 1}`, {
        tokensPerSecond,
        burstTokens: tokensPerSecond * 6,
        weight: tokensPerSecond / 1_000,
        labels: {},
    }]));
}
