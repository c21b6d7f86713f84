import type * as z from "zod";
import type { promptPartReportSchema } from "./prompt_part_report_schema.ts";

/** What an instance reports on parts of prompts; all times are ages in milliseconds. */
export type PromptPartReport = z.infer<typeof promptPartReportSchema>;
