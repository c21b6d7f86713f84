import * as z from "zod";

const key = z.string().regex(/^[0-9a-f]{32}$/);
const attempt = z.string().max(200);

const answer = z.object({
    status: z.int().min(100).max(999),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.string(),
});

const records = z.record(
    z.string(),
    z.object({
        attempt,
        fingerprint: z.string(),
        owner: z.string(),
        at: z.number(),
        state: z.enum(["started", "finished", "unknown"]),
        answer: answer.optional(),
    }),
);

/** Schemas of the parameters of calls to the home of a shard, and of the value of a shard in the store. */
export const onceParameters = {
    /** `once.begin`: records the intent to send a once-only call. */
    begin: z.object({ key, attempt, fingerprint: z.string().max(64), owner: z.string().max(130) }),
    /** `once.finish`: records the outcome of the call; `"withdrawn"` removes the intent of a call that was not sent. */
    finish: z.object({
        key,
        attempt,
        state: z.enum(["finished", "unknown", "withdrawn"]),
        answer: answer.optional(),
    }),
    /** Value of a shard in the store. */
    shard: z.object({ records, era: z.int().min(0).optional() }),
    /** `once.known`: returns what a member knows of a shard, after the store came back from an older copy. */
    known: z.object({ shard: z.int().min(0) }),
    /** Response to `once.known`. */
    knownResponse: z.object({ records }),
};
