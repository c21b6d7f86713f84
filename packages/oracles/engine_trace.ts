/** Trace of an engine stand-in, as its control route returns it. */
export interface EngineTrace {
    /** Requests that currently occupy memory. */
    running: { id: string; pieces: number; }[];
    /** Counts of events and faults. */
    counts: Record<string, number>;
    /** Prefills and decodes, in order of arrival. Times are wall-clock times in milliseconds. */
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
    /** Number of requests that contained a watched text. */
    watchedTextSeen: number;
    /** Number of characters searched for watched texts. */
    bytesSearched: number;
}
