import * as z from "zod";

const id = z.string().max(200);

/** Parameters of the calls about reservations. */
export const reservationParameters = {
    /** `servers.reserve` at the server's home. */
    reserve: z.object({
        server: z.string().max(64),
        id,
        organisation: z.string().max(64),
        pieces: z.int().min(1),
        priority: z.int().min(0).max(9),
        suspect: z.boolean(),
        fingerprint: z.string().max(64),
        waitMilliseconds: z.number().min(0).max(60_000),
    }),
    /** `servers.release` at the server's home. */
    release: z.object({
        server: z.string().max(64),
        id,
        /** `"orphaned"`: the engine may still hold the request, since a cancel was not answered. */
        outcome: z.enum(["done", "unused", "failed", "orphaned"]),
    }),
    /** `requests.holdings` at every instance: what it holds of some servers. */
    holdings: z.object({ servers: z.array(z.string().max(64)).max(10_000) }),
    /** `requests.void` at an instance: reservations that must not be used, as the server started anew. */
    void: z.object({ server: z.string().max(64), ids: z.array(id).max(10_000) }),
    /** `requests.held` at an instance: which of its requests are still under way. */
    held: z.object({ ids: z.array(id).max(10_000) }),
};
