import type * as z from "zod";
import type { declarationSchema } from "./declaration_schema.ts";

/** A validated declaration with its defaults. */
export type Declaration = z.infer<typeof declarationSchema>;
