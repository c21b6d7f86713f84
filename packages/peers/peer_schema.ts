import * as z from "zod";

/** Schema of an instance's identity in registrations and messages. */
export const peerSchema = z.object({
    name: z.string().max(128),
    incarnation: z.string().max(64),
    address: z.string().max(64),
    failureDomain: z.string().max(128).default(""),
    /** Address for callers, in registrations; undefined from a version that names none, or if it is too long. */
    callersAddress: z.string().max(64).optional().catch(undefined),
});
