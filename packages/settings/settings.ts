import type * as z from "zod";
import type { settingsSchema } from "./settings_schema.ts";

/** Validated settings of an instance with their defaults. */
export type Settings = z.infer<typeof settingsSchema>;
