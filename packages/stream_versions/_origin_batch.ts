import type { StreamOrigin } from "./stream_origin.ts";

/** Streams that began at one instance in one period of time, by their keys, oldest first. */
export interface OriginBatch {
    /** Number of the period, counted from the start of Unix time. */
    period: number;
    /** Whether the process that wrote each stream was identified; former builds tell the version by an entry. */
    isIdentified: boolean;
    origins: ReadonlyMap<string, StreamOrigin>;
}
