import type { Scenario } from "./scenario.ts";

/** Result of one experiment. */
export interface BenchResult {
    seed: number;
    workload: string;
    policy: string;
    scenario: Scenario;
    /** Factor by which times are longer than in reality. */
    timeScale: number;
    /** Requests a second that met both latency targets. */
    goodput: number;
    /** Requests a second that were sent. */
    offered: number;
    /** Share of the admitted requests that met both latency targets. */
    withinTargets: number;
    /** Share of the computed prefills that no decode used. */
    wastedPrefill: number;
    /** Served share of what was due to the organisation that fared worst. */
    worstOrganisation: number;
    /** Share of the requests within their organisation's rate that were refused. */
    wrongfulRefusals: number;
    /** Served requests a second of the organisations that do not flood. */
    othersGoodput: number;
    /** Share of the requests of the disturbed time that met both targets; only in the zone scenario. */
    zoneService?: number;
    /** Milliseconds to the first token. */
    firstToken: Percentiles;
    /** Mean milliseconds between the tokens of a request. */
    betweenTokens: Percentiles;
    /** Calls of the store a second, over all instances. */
    storeCallsPerSecond: number;
    /** Means for each instance. */
    instance: {
        controlMessagesPerSecond: number;
        controlBytesPerSecond: number;
        controlBytesPerRequest: number;
        processorShare: number;
        residentMegabytes: number;
    };
    /** Refusals by reason. */
    refusals: Record<string, number>;
    /** Retries by reason. */
    retries: Record<string, number>;
}

/** Percentiles of a time in milliseconds. */
interface Percentiles {
    p50: number;
    p95: number;
    p99: number;
}
