/** How much engine time requests take in each stage. */
export { StageWork } from "./stage_work.ts";
export { stageWorkReportSchema } from "./stage_work_report_schema.ts";
