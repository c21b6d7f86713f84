/** Parts of prompts that crash the servers which run them. */
export type { CrashedRun } from "./crashed_run.ts";
export { createEmptyReport } from "./create_empty_report.ts";
export { mergePromptPartReports } from "./merge_prompt_part_reports.ts";
export { parsePromptParts } from "./parse_prompt_parts.ts";
export { parsePromptSections } from "./parse_prompt_sections.ts";
export type { PartAdmission } from "./part_admission.ts";
export { PromptPartRegistry } from "./prompt_part_registry.ts";
export type { PromptPartReport } from "./prompt_part_report.ts";
export { promptPartReportSchema } from "./prompt_part_report_schema.ts";
export type { PromptSection } from "./prompt_section.ts";
