import type * as z from "zod";
import type { declarationSchema } from "./declaration_schema.ts";

/** Checked declaration, with defaults filled in. */
export type Declaration = z.infer<typeof declarationSchema>;
