/** State that an engine reports. */
export interface EngineReport {
    /** Id of the engine process; it changes with each start. */
    bootId: string;
    /** Requests in the engine's memory, with the number of pieces (blocks of KV cache memory) that each holds. */
    running: { id: string; pieces: number; }[];
}
