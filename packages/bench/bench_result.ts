import type { Scenario } from "./scenario.ts";

/** Result of one experiment. */
export interface BenchResult {
    seed: number;
    workload: string;
    policy: string;
    scenario: Scenario;
    /** Factor by which times are longer than in reality. */
    timeScale: number;
    /** Requests per second that met both latency targets. */
    goodput: number;
    /** Requests per second that were sent. */
    offered: number;
    /** Fraction of the served requests that met both latency targets. */
    withinTargets: number;
    /** Fraction of the computed prefills that no decode used. */
    wastedPrefill: number;
    /** Served fraction of the tokens requested within the limit, for the organisation where it is lowest. */
    worstOrganisation: number;
    /** Fraction of the requests within their organisation's limit that were not served. */
    wrongfulRefusals: number;
    /** Goodput, in requests per second, of the organisations that do not flood. */
    othersGoodput: number;
    /** Fraction of the requests sent while a failure domain is drained that met both targets; only for `zone`. */
    zoneService?: number;
    /** Milliseconds to the first token. */
    firstToken: Percentiles;
    /** Mean milliseconds between the tokens of a request. */
    betweenTokens: Percentiles;
    /** Store calls per second, over all instances. */
    storeCallsPerSecond: number;
    /** Means per instance. */
    instance: {
        controlMessagesPerSecond: number;
        controlBytesPerSecond: number;
        controlBytesPerRequest: number;
        processorShare: number;
        residentMegabytes: number;
    };
    /** Requests that were not served, by reason. */
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
