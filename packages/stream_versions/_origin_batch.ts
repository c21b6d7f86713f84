import type { StreamOrigin } from "./stream_origin.ts";

/** Streams that began at one instance in one period of time, by their keys, oldest first. */
export interface OriginBatch {
    /** Number of the period, counted from the start of Unix time. */
    period: number;
    origins: ReadonlyMap<string, StreamOrigin>;
}
