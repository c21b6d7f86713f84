import * as z from "zod";

const share = { organisation: z.string().max(64), index: z.int().min(0).max(16) };

/** Parameters of the calls to the home of a share. */
export const chargeParameters = {
    /** `limits.charge`: takes `amount`, or with `partial` as much of it as is available. */
    charge: z.object({
        ...share,
        id: z.string().max(200),
        amount: z.number().min(0),
        partial: z.boolean(),
    }),
    /** `limits.settle`: reports the tokens used, so that the rest is refunded. */
    settle: z.object({ ...share, id: z.string().max(200), used: z.number().min(0) }),
};
