import type * as z from "zod";
import type { demandReportSchema } from "./demand_report_schema.ts";

/** Demand for engine memory of one or more instances, by service. */
export type DemandReport = z.infer<typeof demandReportSchema>;
