import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { formatDocumentError, parseDocument } from "../documents/mod.ts";
import { type Settings, settingsSchema } from "../settings/mod.ts";

/**
 * Reads and checks a settings file.
 *
 * @param file Path of the file.
 * @returns The settings, or one line for each error.
 * @example
 * ```ts
 * const settings = await loadSettings("instance-1.jsonc");
 * ```
 */
export async function loadSettings(file: string): Promise<Result<Settings, string[]>> {
    try {
        const text = await readFile(file, "utf8");
        return parseDocument(text, settingsSchema)
            .mapErr(errors => errors.map(error => formatDocumentError(file, error)));
    }
    catch (error) {
        return err([`Cannot read ${file}: ${String(error)}`]);
    }
}
