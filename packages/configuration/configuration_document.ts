import type { Declaration } from "./declaration.ts";

/** Everything that operators control: the declaration, and what commands change beside it. */
export interface ConfigurationDocument extends Declaration {
    /** Organisation of each key, by the key's SHA-256 in hexadecimal digits. */
    keys: Record<string, { organisation: string; label: string; }>;
    /** Backend servers taken out by command. */
    drainedServers: Record<string, { since: string; }>;
    /** Failure domains taken out by command. */
    drainedDomains: Record<string, { since: string; }>;
}
