import type * as z from "zod";
import type { cellSummarySchema } from "./cell_summary_schema.ts";

/** Message with which the primary of a cell informs other cells of its own. */
export type CellSummary = z.infer<typeof cellSummarySchema>;
