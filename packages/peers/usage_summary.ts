import type * as z from "zod";
import type { usageSummarySchema } from "./usage_summary_schema.ts";

/** Usage of limits by several instances together. */
export type UsageSummary = z.infer<typeof usageSummarySchema>;
