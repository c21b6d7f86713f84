import * as z from "zod";

/** Schema of the usage of limits by several instances together. */
export const usageSummarySchema = z.object({
    /** Number of instances that the sums stand for. */
    instances: z.number().int().min(0),
    /** Units spent within the limit's window, by key. */
    spending: z.record(z.string(), z.number()),
    /** Units requested in the last second, by key, including those beyond a limit. */
    asked: z.record(z.string(), z.number()),
    /** Sum of the fractions of an equal share that earlier processes are assumed to have spent. */
    assumedShare: z.number().min(0),
    /** Age in milliseconds of the oldest part. */
    age: z.number().min(0),
    /** Whether the instances do not report, so that each counts as an equal share at least. */
    missing: z.boolean(),
});
