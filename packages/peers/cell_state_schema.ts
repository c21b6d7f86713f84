import * as z from "zod";
import { demandReportSchema } from "../decisions/mod.ts";
import { createEmptyReport, promptPartReportSchema } from "../prompt_parts/mod.ts";
import { serverLimitNoticeSchema } from "./server_limit_notice_schema.ts";
import { usageSummarySchema } from "./usage_summary_schema.ts";

const MAXIMUM_ENTRIES = 1_024;

/** Schema of what the instances of one or more cells report together. */
export const cellStateSchema = z.object({
    /** Usage of organisations' limits. */
    usage: z.array(usageSummarySchema).max(MAXIMUM_ENTRIES),
    /** Usage of servers' limits. */
    serverUsage: z.array(usageSummarySchema).max(MAXIMUM_ENTRIES).default([]),
    /** Outcomes of requests by version of their servers. */
    versionOutcomes: z.array(usageSummarySchema).max(MAXIMUM_ENTRIES).default([]),
    /** Limits that servers have named. */
    serverLimits: z.array(serverLimitNoticeSchema).max(MAXIMUM_ENTRIES).default([]),
    /** By model service: prompt tokens of unfinished prefills, and reserved tokens. */
    stageLoads: z.record(z.string(), z.tuple([z.number(), z.number()])),
    /** Engines that are changing their stage by an order. */
    changing: z.array(z.string()).max(MAXIMUM_ENTRIES),
    /** Servers at whose addresses other servers respond. */
    gone: z.array(z.string()).max(MAXIMUM_ENTRIES),
    /** The same with the Unix times in milliseconds of the starts that have ended; empty from an earlier program. */
    goneStarts: z.array(z.tuple([z.string(), z.number()])).max(MAXIMUM_ENTRIES).default([]),
    /** Servers that have said that they leave, with the Unix time in milliseconds of their start. */
    leaving: z.array(z.tuple([z.string(), z.number()])).max(MAXIMUM_ENTRIES).default([]),
    /** Pairs of a request's fingerprint and a start of a server that crashed while the request ran on it. */
    crashes: z.array(z.tuple([z.string(), z.string()])).max(MAXIMUM_ENTRIES),
    /** Parts of prompts that crash servers. */
    promptParts: promptPartReportSchema.default(createEmptyReport),
    /** Demand for engine memory; undefined without requests of services that have several urgencies. */
    demand: demandReportSchema.optional(),
});
