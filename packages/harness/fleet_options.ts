import type { Declaration } from "../configuration/mod.ts";
import type { EngineDescription } from "./engine_description.ts";

/** Options of a {@linkcode Fleet}. */
export interface FleetOptions {
    /** Number of instances. Default: 3. */
    instances?: number;
    /** Failure domains. Default: `["domain-1", "domain-2", "domain-3"]`. */
    failureDomains?: string[];
    /** Engines. Default: two for prefill and two for decode. */
    engines?: EngineDescription[];
    /** Number of plain services. Default: 1. */
    services?: number;
    /** Organisations. Default: `north` and `south` with generous limits. */
    organisations?: Declaration["organisations"];
    /** Top-level entries that replace those of the default declaration. */
    declaration?: Partial<Declaration>;
    /** Placement policy of the instances. Default: `"today"`. */
    policy?: "today" | "round-robin" | "least-loaded";
    /** Milliseconds for which an instance still accepts requests while it shuts down. Default: 200. */
    graceMilliseconds?: number;
    /** Whether instances call each other through partition proxies, so that they can be partitioned. Default: false. */
    partitionProxies?: boolean;
    /** Arguments of Node.js for the instances, such as a heap limit. Default: none. */
    nodeArguments?: string[];
    /** Further settings of the instances. Default: none. */
    settings?: Record<string, unknown>;
    /** Engines per stand-in process. Default: 1. */
    enginesPerProcess?: number;
}
