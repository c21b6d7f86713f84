import * as z from "zod";

/** Schema of what a server has said of its limit. */
export const serverLimitNoticeSchema = z.object({
    /** Id of the server. */
    id: z.string(),
    /** Unix time in milliseconds of the server's start. */
    startedAt: z.number(),
    /** Requests a second that it takes from all instances together; undefined once it has ended its limit. */
    perSecond: z.number().min(0).optional(),
    /** Age in milliseconds of the answer that said so. */
    age: z.number().min(0),
});
