/** What the engines of a model service have in common. */
export interface EngineProfile {
    /** Requests that an engine runs at once. */
    slots: number;
    /** Tokens that an engine's memory holds. */
    memoryTokens: number;
    /** Time in milliseconds that an engine keeps the result of a prefill. */
    prefillResultLifetimeMilliseconds: number;
    /** Time in milliseconds that an engine is away when it changes its stage. */
    stageChangeMilliseconds: number;
    /** Longest time in milliseconds that memory may be reserved for; 0 when engines take no reservations. */
    maximumReservationMilliseconds: number;
}
