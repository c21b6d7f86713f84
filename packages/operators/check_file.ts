import { parse } from "jsonc-parser";
import { readFile } from "node:fs/promises";
import { loadSettings } from "../runtime/mod.ts";
import { readDeclaration } from "./read_declaration.ts";

/** Result of checking a file. */
interface CheckResult {
    kind: "settings" | "declaration";
    errors: string[];
    warnings: string[];
}

/**
 * Checks a settings or declaration file. A file with `organisations` or `backendServers` is treated as a declaration.
 *
 * @param file Path of the file.
 * @returns The kind of file, and one line for each error and warning.
 * @example
 * ```ts
 * const { errors } = await checkFile("fleet.jsonc");
 * ```
 */
export async function checkFile(file: string): Promise<CheckResult> {
    if (await looksLikeDeclaration(file)) {
        const read = await readDeclaration(file);
        return read.match(
            ({ warnings }) => ({ kind: "declaration", errors: [], warnings }),
            errors => ({ kind: "declaration", errors, warnings: [] }),
        );
    }
    const settings = await loadSettings(file);
    return { kind: "settings", errors: settings.match(() => [], errors => errors), warnings: [] };
}

async function looksLikeDeclaration(file: string): Promise<boolean> {
    try {
        const value: unknown = parse(await readFile(file, "utf8"));
        return typeof value === "object" && !!value && ("organisations" in value || "backendServers" in value);
    }
    catch {
        return false;
    }
}
