/** Settings of an instance. */
export { awaitSettings } from "./await_settings.ts";
export type { Settings } from "./settings.ts";
export { settingsSchema } from "./settings_schema.ts";
