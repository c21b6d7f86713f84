import * as z from "zod";

const id = z.string().max(200);

/** Schemas of the parameters of the reservation calls between instances. */
export const reservationParameters = {
    /** `servers.reserve`, sent to the server's home. */
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
    /** `servers.release`, sent to the server's home. */
    release: z.object({
        server: z.string().max(64),
        id,
        /** `"orphaned"`: the engine may still run the request, since it did not respond to the cancellation. */
        outcome: z.enum(["done", "unused", "failed", "orphaned"]),
    }),
    /** `requests.holdings`, sent to every instance: returns its reservations at some servers. */
    holdings: z.object({ servers: z.array(z.string().max(64)).max(10_000) }),
    /** `requests.void`, sent to an instance: its reservations that are void because the server failed or restarted. */
    void: z.object({ server: z.string().max(64), ids: z.array(id).max(10_000) }),
    /** `requests.held`, sent to an instance: returns which of the requests still hold a reservation. */
    held: z.object({ ids: z.array(id).max(10_000) }),
};
