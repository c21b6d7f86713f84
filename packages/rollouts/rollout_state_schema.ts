import * as z from "zod";

/** Schema of what the store keeps of a roll-out. */
export const rolloutStateSchema = z.object({
    /** Id of the order. */
    order: z.string(),
    service: z.string(),
    version: z.string(),
    phase: z.enum(["trial", "probe", "move", "completed", "rolled-back"]),
    /** Time in milliseconds from the order until the phase began. */
    elapsedMilliseconds: z.number().min(0),
    /** Unix time in milliseconds of the order, by the clock of the instance that wrote the state. */
    orderedAt: z.number(),
    /** Versions that an earlier order had rolled back, which get nothing. */
    refused: z.array(z.string()).max(1_024),
    /** Era of the store in which the state was written; undefined in states of earlier programs. */
    era: z.number().optional(),
});
