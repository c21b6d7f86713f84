import type { EngineStage } from "./engine_stage.ts";

/** A backend server as it registered. */
export interface RegisteredServer {
    /** Id under which the server registered at this start. */
    id: string;
    service: string;
    /** IP address and port. */
    address: string;
    failureDomain: string;
    /** Whether the server is draining. */
    leaving: boolean;
    /** Undefined if the server is not a model engine. */
    stage: EngineStage | undefined;
    /** Requests that the server runs concurrently. */
    slots: number;
    /** Remaining time in milliseconds for which the server was cold when the registration was written. */
    coldMilliseconds: number;
    /** Version of the server's software; undefined if unknown. */
    version?: string;
    /** Unix time in milliseconds of the server's start; 0 if unknown. */
    startedAt: number;
}
