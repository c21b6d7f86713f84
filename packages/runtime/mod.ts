/** One running instance, put together from its parts. */
export { Instance } from "./instance.ts";
export { loadSettings } from "./load_settings.ts";
