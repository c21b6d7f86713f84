/** Settings of an instance. */
export type { Settings } from "./settings.ts";
export { settingsSchema } from "./settings_schema.ts";
