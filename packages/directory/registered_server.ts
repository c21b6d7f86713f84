import type { EngineStage } from "./engine_stage.ts";

/** A backend server as it is registered. */
export interface RegisteredServer {
    /** Name of this start of the server. */
    id: string;
    service: string;
    /** IP number and port. */
    address: string;
    failureDomain: string;
    /** Whether the server is about to leave. */
    leaving: boolean;
    /** Present when the server is a model engine. */
    stage: EngineStage | undefined;
    slots: number;
    /** Time in milliseconds that the server stayed cold when the entry was written. */
    coldMilliseconds: number;
    /** Unix time in milliseconds of the server's start, 0 when unknown. */
    startedAt: number;
    /** Revision of the entry. */
    revision: number;
}
