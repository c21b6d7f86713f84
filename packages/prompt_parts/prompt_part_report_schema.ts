import * as z from "zod";

const MAXIMUM_ENTRIES = 1_024;
const MAXIMUM_PARTS = 64;
const part = z.string().max(256);
const milliseconds = z.number().min(0);

/** Schema of what an instance reports on parts of prompts; all times are ages in milliseconds. */
export const promptPartReportSchema = z.object({
    /** Runs that had not delivered any event when their server crashed. */
    crashes: z.array(z.object({
        server: z.string(),
        startedAt: z.number(),
        aliveAge: milliseconds,
        endedAge: milliseconds,
        parts: z.array(part).max(MAXIMUM_PARTS),
    })).max(MAXIMUM_ENTRIES),
    /** Blocked parts, with the ages of the block and of the last request that held the part. */
    blocked: z.array(z.tuple([part, milliseconds, milliseconds])).max(MAXIMUM_ENTRIES),
    /** Parts that others suspect, with the age of the last run that held the part and delivered events. */
    cleared: z.array(z.tuple([part, milliseconds])).max(MAXIMUM_ENTRIES),
});
