import * as z from "zod";
import { cellStateSchema } from "./cell_state_schema.ts";
import { peerSchema } from "./peer_schema.ts";

/** Schema of the message with which the primary of a cell informs other cells of its own. */
export const cellSummarySchema = z.object({
    from: peerSchema,
    cell: z.string().max(1_024),
    /** Incarnations of the processes that the state covers. */
    processes: z.array(z.string()).max(1_024),
    state: cellStateSchema,
});
