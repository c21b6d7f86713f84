import * as z from "zod";
import { demandReportSchema } from "../decisions/mod.ts";
import { createEmptyReport, promptPartReportSchema } from "../prompt_parts/mod.ts";
import { speedReportSchema } from "../speeds/mod.ts";
import { stageWorkReportSchema } from "../stages/mod.ts";
import { peerSchema } from "./peer_schema.ts";
import { serverLimitNoticeSchema } from "./server_limit_notice_schema.ts";
import { serverLoadsSchema } from "./server_loads_schema.ts";
import { spendingReportSchema } from "./spending_report_schema.ts";
import { unitsSchema } from "./units_schema.ts";

/** Schema of an instance's report on itself to its peers. */
export const peerReportSchema = peerSchema.extend({
    /** Whether the instance's last read of the store succeeded. */
    readsStore: z.boolean(),
    /** Whether a backend server has answered the instance lately; false while it is isolated, undefined if nothing is known. */
    serversReachable: z.boolean().optional(),
    /** Monotonic time of the sender in milliseconds, in reports whose arrival is to be proven. */
    sentAt: z.number().optional(),
    /** By incarnation of a receiver: `sentAt` of its last such report that has arrived. */
    arrived: unitsSchema.optional(),
    /** By server: requests, reserved tokens and prefill tokens in progress, recent failures and recent successes. */
    loads: serverLoadsSchema,
    /** Engines that are changing their stage by this instance's order. */
    changing: z.array(z.string()).max(1_024),
    /** Servers at whose addresses other servers respond. */
    gone: z.array(z.string()).max(1_024),
    /** The same with the Unix times in milliseconds of the starts that have ended; empty from an earlier program. */
    goneStarts: z.array(z.tuple([z.string(), z.number()])).max(1_024).default([]),
    /** Servers that have said to the instance that they leave, with the Unix time in milliseconds of their start. */
    leaving: z.array(z.tuple([z.string(), z.number()])).max(1_024).default([]),
    /** Pairs of a request's fingerprint and a start of a server that crashed while the request ran on it. */
    crashes: z.array(z.tuple([z.string(), z.string()])).max(1_024),
    /** Parts of prompts that crash servers. */
    promptParts: promptPartReportSchema.default(createEmptyReport),
    /** Usage of organisations' limits. */
    ...spendingReportSchema.shape,
    /** Usage of servers' limits; undefined from an instance that does not count it. */
    serverUsage: spendingReportSchema.optional(),
    /** Outcomes of requests by version of their servers; undefined while no roll-out lasts. */
    versionOutcomes: spendingReportSchema.optional(),
    /** Limits that servers have named to the instance. */
    serverLimits: z.array(serverLimitNoticeSchema).max(1_024).default([]),
    /** Demand for engine memory; undefined without requests of services that have several urgencies. */
    demand: demandReportSchema.optional(),
    /** Engines whose speed differs from the others'; undefined if there is none. */
    speeds: speedReportSchema.optional(),
    /** Engine time of the instance's requests by stage; undefined unless engines are divided by it. */
    stageWork: stageWorkReportSchema.optional(),
});
