import type { Declaration } from "../configuration/mod.ts";
import type { EngineDescription } from "../harness/mod.ts";

/** Sizes and traffic of a deployment. */
export interface Workload {
    /** Name on the command line. */
    name: "liepkalns" | "blue-mahoe";
    /** Failure domains. */
    failureDomains: string[];
    /** Model engines. */
    engines: EngineDescription[];
    /** Number of plain services. */
    services: number;
    /** Organisations with their limits. */
    organisations: Declaration["organisations"];
    /** Share of each organisation in the traffic, in the order of the organisations. */
    trafficShares: number[];
    /** Tokens of the part that all prompts begin with. */
    sharedPrefixTokens: number;
    /** Tokens of a customer's history. */
    historyTokens: { lowest: number; highest: number; };
    /** Customers whose history comes back. */
    endUsers: number;
    /** Longest answer in tokens. */
    maximumTokens: { lowest: number; highest: number; };
    /** Model requests a second that load the engines to about two thirds. */
    steadyRequestsPerSecond: number;
}
