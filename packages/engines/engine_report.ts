/** What an engine says of itself. */
export interface EngineReport {
    /** Changes each time the engine starts. */
    bootId: string;
    /** Requests in the engine's memory, with the pieces of memory that each holds. */
    running: { id: string; pieces: number; }[];
}
