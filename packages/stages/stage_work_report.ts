import type * as z from "zod";
import type { stageWorkReportSchema } from "./stage_work_report_schema.ts";

/** What an instance reports on the engine time of its requests. */
export type StageWorkReport = z.infer<typeof stageWorkReportSchema>;
