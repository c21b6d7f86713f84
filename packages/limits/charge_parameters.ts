import * as z from "zod";

const place = { organisation: z.string().max(64), index: z.int().min(0).max(16) };

/** Parameters of the calls to the home of a share. */
export const chargeParameters = {
    /** `limits.charge`: takes `amount`, or with `partial` as much of it as there is. */
    charge: z.object({
        ...place,
        id: z.string().max(200),
        amount: z.number().min(0),
        partial: z.boolean(),
    }),
    /** `limits.settle`: says how many tokens were used. */
    settle: z.object({ ...place, id: z.string().max(200), used: z.number().min(0) }),
};
