import * as z from "zod";
import { createEmptyReport, promptPartReportSchema } from "../prompt_parts/mod.ts";
import { peerSchema } from "./peer_schema.ts";

/** Schema of an instance's report on itself to its peers. */
export const peerReportSchema = peerSchema.extend({
    /** Whether the instance's last read of the store succeeded. */
    readsStore: z.boolean(),
    /** By server: requests, reserved tokens and prefill tokens in progress, recent failures and recent successes. */
    loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number(), z.number(), z.number()])),
    /** Engines that are changing their stage by this instance's order. */
    changing: z.array(z.string()).max(1_024),
    /** Servers at whose addresses other servers respond. */
    gone: z.array(z.string()).max(1_024),
    /** Servers that have said to the instance that they leave, with the Unix time in milliseconds of their start. */
    leaving: z.array(z.tuple([z.string(), z.number()])).max(1_024).default([]),
    /** Pairs of a request's fingerprint and a server that crashed while the request ran on it. */
    crashes: z.array(z.tuple([z.string(), z.string()])).max(1_024),
    /** Parts of prompts that crash servers. */
    promptParts: promptPartReportSchema.default(createEmptyReport),
    /** Units spent within the limit's window, by organisation. */
    spending: z.record(z.string(), z.number()),
    /** Units requested in the last second by organisation, including those beyond a limit. */
    asked: z.record(z.string(), z.number()),
    /** Fraction of an equal share that the instance's previous process is assumed to have spent. */
    assumedShare: z.number(),
    /** Spending of processes that ended within the window: age in milliseconds, units by organisation. */
    ended: z.record(z.string(), z.tuple([z.number(), z.record(z.string(), z.number())])),
});
