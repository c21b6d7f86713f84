import { parse } from "jsonc-parser";
import { ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import type { ConfigurationDocument } from "../configuration/mod.ts";
import type { Difference } from "../configuration_checks/mod.ts";
import { loadSettings } from "../runtime/mod.ts";
import { compareDeclaration } from "./compare_declaration.ts";
import { readDeclaration } from "./read_declaration.ts";

/** Result of checking a file. */
interface CheckResult {
    kind: "settings" | "declaration";
    errors: string[];
    warnings: string[];
    /** What differs from the configuration that a declaration is compared with. */
    differences: Difference[];
}

/** Reads the configuration that a declaration is compared with, or returns one line for each error. */
type ReadCurrent = () => Promise<Result<ConfigurationDocument, string[]>>;

/**
 * Checks a settings or declaration file. A file with `organisations` or `backendServers` is treated as a declaration.
 *
 * @param file Path of the file.
 * @param readCurrent Reads the configuration to compare a declaration with. Default: it is compared with none.
 * @returns The kind of file, one line for each error and warning, and the differences.
 * @example
 * ```ts
 * const { errors } = await checkFile("fleet.jsonc", () => readDocument("in-force.jsonc"));
 * ```
 */
export async function checkFile(file: string, readCurrent?: ReadCurrent): Promise<CheckResult> {
    if (!await looksLikeDeclaration(file)) {
        const settings = await loadSettings(file);
        const errors = settings.match(() => [], lines => lines);
        const compared = readCurrent ? [`${file}: only declarations can be compared`] : [];
        return { kind: "settings", errors: [...errors, ...compared], warnings: [], differences: [] };
    }
    const read = await readDeclaration(file);
    const current = await readCurrent?.() ?? ok(undefined);
    const failed = { kind: "declaration" as const, warnings: [], differences: [] };
    if (read.isErr() || current.isErr()) {
        return { ...failed, errors: [...read.isErr() ? read.error : [], ...current.isErr() ? current.error : []] };
    }
    const { warnings, differences } = current.value
        ? compareDeclaration(read.value, current.value)
        : { warnings: read.value.warnings, differences: [] };
    return { kind: "declaration", errors: [], warnings, differences };
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
