import * as z from "zod";
import type { MembershipRecord } from "./membership_record.ts";

const member = z.object({
    name: z.string().max(64),
    incarnation: z.string().max(64),
    address: z.string().max(64),
    failureDomain: z.string().max(64),
});

/** Schema of a membership record from the store or from another instance. */
export const membershipRecordSchema: z.ZodType<MembershipRecord> = z.object({
    epoch: z.int().min(0),
    members: z.array(member).max(10_000),
    history: z.array(z.object({ epoch: z.int().min(0), members: z.array(z.string().max(130)) })),
    era: z.int().min(0).optional(),
});
