import type { StreamOrigin } from "./stream_origin.ts";

/** What began a stream, and how this instance knows it. */
export interface FoundOrigin {
    origin: StreamOrigin;
    /** Whether the process that wrote the stream was identified; records of former builds do not say so. */
    isIdentified: boolean;
    /** Whether the stream began at this instance, or was read from a record in the store. */
    source: "begun-here" | "read";
    /** Era of the store in which the record was read; undefined if the stream began here. */
    era: number | undefined;
    /** Time in milliseconds for which it has been known. */
    ageMilliseconds: number;
}
