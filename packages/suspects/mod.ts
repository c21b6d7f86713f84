/** Requests suspected of crashing the backend servers that run them. */
export { fingerprintRequest } from "./fingerprint_request.ts";
export { SuspectRegistry } from "./suspect_registry.ts";
export type { SuspectRegistryOptions } from "./suspect_registry_options.ts";
