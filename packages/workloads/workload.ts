import type { Declaration } from "../configuration/mod.ts";
import type { EngineDescription } from "../harness/mod.ts";

/** Sizes and traffic of a simulated deployment. */
export interface Workload {
    /** Name on the command line. */
    name: "liepkalns" | "blue-mahoe";
    /** Failure domains. */
    failureDomains: string[];
    /** Model engines. */
    engines: EngineDescription[];
    /** Number of plain services. */
    services: number;
    /** Organisations and their limits. */
    organisations: Declaration["organisations"];
    /** Fraction of the traffic that each organisation sends, in the order of the organisations. */
    trafficFractions: number[];
    /** Tokens of the prefix that all prompts share. */
    sharedPrefixTokens: number;
    /** Range of the tokens of an end user's history. */
    historyTokens: { lowest: number; highest: number; };
    /** Number of end users, whose histories recur in prompts. */
    endUsers: number;
    /** Range of the maximum completion length in tokens. */
    maximumTokens: { lowest: number; highest: number; };
    /** Model requests per second that load the engines to about two thirds. */
    steadyRequestsPerSecond: number;
}
