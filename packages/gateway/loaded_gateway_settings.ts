import type { DocumentError } from "../documents/mod.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Settings as they were read from a file. */
export interface LoadedGatewaySettings {
    settings: GatewaySettings;
    /** Errors of settings that are not required and were left out, so that their defaults apply. */
    leftOut: DocumentError[];
}
