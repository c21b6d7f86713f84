/** Assembly of an instance from its components. */
export { Instance } from "./instance.ts";
export { loadSettings } from "./load_settings.ts";
