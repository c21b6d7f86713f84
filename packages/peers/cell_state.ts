import type * as z from "zod";
import type { cellStateSchema } from "./cell_state_schema.ts";

/** What the instances of one or more cells report together. */
export type CellState = z.infer<typeof cellStateSchema>;
