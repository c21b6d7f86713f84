/** What an engine stand-in saw. */
export interface EngineTrace {
    /** Requests in memory now. */
    running: { id: string; pieces: number; }[];
    /** Counts of events and faults. */
    counts: Record<string, number>;
    /** Prefills and decodes in order. */
    trace: {
        request: string;
        label: string;
        kind: "prefill" | "decode";
        at: number;
        promptTokens: number;
        maximumTokens: number;
        generated: number;
        crashed: boolean;
    }[];
    /** Requests that held a watched text. */
    watchedTextSeen: number;
    /** Characters searched for watched texts. */
    bytesSearched: number;
}
