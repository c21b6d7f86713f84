import type { EngineProfile } from "./engine_profile.ts";

/** A service: a group of interchangeable backend servers. */
export interface ServiceProfile {
    name: string;
    /** Path of the health check. */
    healthPath: string;
    /** Connections that one backend server accepts in total; 0 if unlimited. */
    maximumConnections: number;
    /** Requests per second that a cold server can handle; 0 if servers of this service are never cold. */
    coldRequestsPerSecond: number;
    /** Time in milliseconds for which a server stays cold after its start. */
    coldMilliseconds: number;
    /** Undefined if the servers are not model engines. */
    engine: EngineProfile | undefined;
}
