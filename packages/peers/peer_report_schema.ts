import * as z from "zod";

/** Schema of what an instance tells its peers about itself. */
export const peerReportSchema = z.object({
    name: z.string().max(128),
    incarnation: z.string().max(64),
    address: z.string().max(64),
    /** Whether the instance's last read of the store succeeded. */
    readsStore: z.boolean(),
    /** By server: requests, reserved tokens and prefill tokens under way, recent failures and recent successes. */
    loads: z.record(z.string(), z.tuple([z.number(), z.number(), z.number(), z.number(), z.number()])),
    /** Engines that are changing their stage by order of the instance. */
    changing: z.array(z.string()).max(1_024),
    /** Servers at whose addresses other servers answer. */
    gone: z.array(z.string()).max(1_024),
    /** Requests by fingerprint, with the servers that crashed while they ran. */
    crashes: z.array(z.tuple([z.string(), z.string()])).max(1_024),
    /** Units spent in the limit's window by organisation. */
    spending: z.record(z.string(), z.number()),
    /** Units asked for in the last second by organisation, those beyond a limit included. */
    asked: z.record(z.string(), z.number()),
    /** Part of an equal share that a former process at the instance's place is taken to have spent. */
    assumedShare: z.number(),
    /** What processes that ended within the window had spent: age in milliseconds, units by organisation. */
    ended: z.record(z.string(), z.tuple([z.number(), z.record(z.string(), z.number())])),
});
