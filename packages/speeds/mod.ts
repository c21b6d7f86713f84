/** Speeds of engines, learned from own runs and shared in the cell, and the choice of engines by expected time. */
export type { DecodeCandidate } from "./decode_candidate.ts";
export { EngineChooser } from "./engine_chooser.ts";
export { EngineSpeeds } from "./engine_speeds.ts";
export type { PrefillCandidate } from "./prefill_candidate.ts";
export { ReferencePace } from "./reference_pace.ts";
export type { SpeedReport } from "./speed_report.ts";
export { speedReportSchema } from "./speed_report_schema.ts";
