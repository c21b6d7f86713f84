import * as z from "zod";

/** Largest number of engines in one report. */
const MAXIMUM_ENGINES = 64;

/**
 * Schema of what an instance reports on engines whose speed differs from the others': id, Unix time in milliseconds of the
 * start, stage, speed as a factor of the instance's reference, and number of runs that it was learned from.
 */
export const speedReportSchema = z.array(z.tuple([
    z.string().max(256),
    z.number(),
    z.enum(["prefill", "decode"]),
    z.number().min(0.01).max(100),
    z.number().min(0).max(1_000),
])).max(MAXIMUM_ENGINES);
