import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { formatDocumentError, parseDocument } from "../documents/mod.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { gatewaySettingsSchema } from "./gateway_settings_schema.ts";

/**
 * Reads and validates the settings file of an instance behind the platform's load balancer.
 *
 * @param file Path of the file.
 * @returns The settings, or one message per error.
 * @example
 * ```ts
 * const settings = await loadGatewaySettings("instance.jsonc");
 * ```
 */
export async function loadGatewaySettings(file: string): Promise<Result<GatewaySettings, string[]>> {
    try {
        const text = await readFile(file, "utf8");
        return parseDocument(text, gatewaySettingsSchema)
            .mapErr(errors => errors.map(error => formatDocumentError(file, error)));
    }
    catch (error) {
        return err([`Cannot read ${file}: ${String(error)}`]);
    }
}
