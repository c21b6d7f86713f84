import type { EngineProfile } from "./engine_profile.ts";

/** A group of backend servers that do the same work. */
export interface ServiceProfile {
    name: string;
    /** Path of the health check. */
    healthPath: string;
    /** Connections that one backend server accepts from all callers together; 0 when unlimited. */
    maximumConnections: number;
    /** Requests a second that a cold server bears; 0 when servers of this service are never cold. */
    coldRequestsPerSecond: number;
    /** Time in milliseconds that a server stays cold after its start. */
    coldMilliseconds: number;
    /** Present when the servers are model engines. */
    engine: EngineProfile | undefined;
}
