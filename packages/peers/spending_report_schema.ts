import * as z from "zod";
import { unitsSchema } from "./units_schema.ts";

/** Schema of the usage of limits by an instance. */
export const spendingReportSchema = z.object({
    /** Units spent within the limit's window, by key. */
    spending: unitsSchema,
    /** Units requested in the last second by key, including those beyond a limit. */
    asked: unitsSchema,
    /** Fraction of an equal share that the instance's previous process is assumed to have spent. */
    assumedShare: z.number(),
    /** Spending of processes that ended within the window: age in milliseconds, units by key. */
    ended: z.record(z.string(), z.tuple([z.number(), unitsSchema])),
});
