import * as z from "zod";

/** Largest number of streams in one item of the store. */
const MAXIMUM_STREAMS = 256;

/** Schema of a stored item: the streams that began at one instance in one period of time. */
export const originBatchSchema = z.object({
    /** Number of the period, counted from the start of Unix time. */
    period: z.number(),
    /** Whether the processes that wrote the streams were identified; former builds leave it out and pass it over. */
    identified: z.boolean().optional(),
    /** Service, software version and keys of the streams. */
    origins: z.array(z.tuple([z.string(), z.string(), z.array(z.string().max(64)).max(MAXIMUM_STREAMS)])).max(
        MAXIMUM_STREAMS,
    ),
});
