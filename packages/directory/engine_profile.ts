/** Properties that all engines of a model service share. */
export interface EngineProfile {
    /** Requests that an engine runs concurrently. */
    slots: number;
    /** Capacity of an engine's KV cache, in tokens. */
    memoryTokens: number;
    /** Time in milliseconds for which an engine keeps a prefill result. */
    prefillResultLifetimeMilliseconds: number;
    /** Time in milliseconds for which an engine is unavailable while it changes its stage. */
    stageChangeMilliseconds: number;
    /** Longest time in milliseconds for which memory can be reserved; 0 if engines do not support reservations. */
    maximumReservationMilliseconds: number;
}
