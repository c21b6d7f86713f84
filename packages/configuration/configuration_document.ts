import type { Declaration } from "./declaration.ts";

/** The whole configuration: the declaration, and the API keys and drains that operators set by command. */
export interface ConfigurationDocument extends Declaration {
    /** Organisation of each API key, by the key's SHA-256 in hexadecimal digits. */
    keys: Record<string, { organisation: string; label: string; }>;
    /** Drained backend servers, by name. */
    drainedServers: Record<string, { since: string; }>;
    /** Drained failure domains, by name. */
    drainedDomains: Record<string, { since: string; }>;
}
