import type * as z from "zod";
import type { speedReportSchema } from "./speed_report_schema.ts";

/** What an instance reports on engines whose speed differs from the others'. */
export type SpeedReport = z.infer<typeof speedReportSchema>;
