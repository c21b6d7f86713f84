import * as z from "zod";
import { cellStateSchema } from "./cell_state_schema.ts";
import { peerSchema } from "./peer_schema.ts";

/** Schema of the message with which the primary of a cell informs its members of all other cells. */
export const cellDigestSchema = z.object({ from: peerSchema, state: cellStateSchema });
