import { parse } from "jsonc-parser";
import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { type DocumentError, formatDocumentError, parseUsableDocument } from "../documents/mod.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { gatewaySettingsSchema } from "./gateway_settings_schema.ts";
import type { LoadedGatewaySettings } from "./loaded_gateway_settings.ts";
import { repairMemoryMegabytes } from "./repair_memory_megabytes.ts";

/** Paths whose errors hide whether keys are refused while their validity cannot be confirmed. */
const FAIL_CLOSED_PATHS = ["bounds", "bounds.failClosed"];

/**
 * Reads and validates the settings file of an instance behind the platform's load balancer. A setting that is not required
 * and cannot be used is left out.
 *
 * @param file Path of the file.
 * @returns The settings, or one message per error.
 * @example
 * ```ts
 * const loaded = await loadGatewaySettings("instance.jsonc");
 * ```
 */
export async function loadGatewaySettings(file: string): Promise<Result<LoadedGatewaySettings, string[]>> {
    try {
        const text = await readFile(file, "utf8");
        return parseUsableDocument(text, gatewaySettingsSchema)
            .map(({ value, leftOut }) => repairMemory(text, keepKeysClosed(text, value, leftOut), leftOut))
            .mapErr(errors => errors.map(error => formatDocumentError(file, error)));
    }
    catch (error) {
        return err([`Cannot read ${file}: ${String(error)}`]);
    }
}

/**
 * The default is for settings that do not name the bound. One that cannot be read, or a field whose name is misspelt, may
 * have asked for the strict way.
 */
function keepKeysClosed(text: string, settings: GatewaySettings, leftOut: DocumentError[]): GatewaySettings {
    const document = parse(text, [], { allowTrailingComma: true }) as { bounds?: { failClosed?: unknown; }; };
    const isUnusable = leftOut.some(({ path }) => FAIL_CLOSED_PATHS.includes(path));
    const hasUnknownField = Object.keys(document).some(name => !Object.hasOwn(gatewaySettingsSchema.shape, name));
    const isNamed = typeof document.bounds?.failClosed === "boolean";
    return isUnusable || hasUnknownField && !isNamed
        ? { ...settings, bounds: { ...settings.bounds, failClosed: true } }
        : settings;
}

/** Takes a memory limit that can be read but is not valid; the default could exceed the memory of the process. */
function repairMemory(text: string, settings: GatewaySettings, leftOut: DocumentError[]): LoadedGatewaySettings {
    const problem = leftOut.find(({ path }) => path === "memoryMegabytes");
    if (!problem) {
        return { settings, leftOut };
    }
    const { memoryMegabytes: asked } = parse(text, [], { allowTrailingComma: true }) as { memoryMegabytes?: unknown; };
    const memoryMegabytes = repairMemoryMegabytes(asked);
    const repaired = { ...problem, message: `${problem.message}; ${memoryMegabytes} is used` };
    return {
        settings: { ...settings, memoryMegabytes },
        leftOut: leftOut.map(error => error === problem ? repaired : error),
    };
}
