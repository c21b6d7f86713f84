import * as z from "zod";

const sum = z.number().min(0).max(1e12);

/**
 * Schema of what an instance reports on the engine time of its requests, by service: prefills, their prompt tokens; prompt
 * tokens of prefills at idle engines, their milliseconds; runs, their occupancies, their engine milliseconds. All sums lose
 * weight with age.
 */
export const stageWorkReportSchema = z.record(z.string(), z.tuple([sum, sum, sum, sum, sum, sum, sum]));
