import type * as z from "zod";
import type { settingsSchema } from "./settings_schema.ts";

/** Checked settings of one instance, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>;
