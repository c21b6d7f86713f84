import * as z from "zod";
import { peerSchema } from "./peer_schema.ts";

/** Schema of a question for the latest summaries of cells that the sender does not hear from. */
export const cellQuerySchema = z.object({ from: peerSchema, cells: z.array(z.string().max(1_024)).max(1_024) });
