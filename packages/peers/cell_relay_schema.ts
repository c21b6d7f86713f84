import * as z from "zod";
import { cellSummarySchema } from "./cell_summary_schema.ts";

/** Schema of the summary of a third cell, in response to a question. */
export const cellRelaySchema = z.object({
    summary: cellSummarySchema,
    /** Time in milliseconds since the summary arrived at the sender. */
    age: z.number().min(0),
});
