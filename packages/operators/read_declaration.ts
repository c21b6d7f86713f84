import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { checkDeclaration, declarationSchema, emptyDocument } from "../configuration/mod.ts";
import { findContradictoryLimits, type Finding, findUnusedEntries } from "../configuration_checks/mod.ts";
import { type DocumentError, formatDocumentError, locateField, parseDocument } from "../documents/mod.ts";
import type { CheckedDeclaration } from "./checked_declaration.ts";

const MAXIMUM_BYTES = 1_000_000;

/**
 * Reads and checks a declaration file.
 *
 * @param file Path of the file.
 * @returns The declaration with its warnings, or one line for each error.
 * @example
 * ```ts
 * const read = await readDeclaration("fleet.jsonc");
 * ```
 */
export async function readDeclaration(file: string): Promise<Result<CheckedDeclaration, string[]>> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return err([`Cannot read ${file}: ${String(error)}`]);
    }
    if (Buffer.byteLength(text) > MAXIMUM_BYTES) {
        return err([`${file}: the file is longer than ${MAXIMUM_BYTES} bytes`]);
    }
    const formatError = (error: DocumentError) => formatDocumentError(file, error);
    const parsed = parseDocument(text, declarationSchema);
    if (parsed.isErr()) {
        return err(parsed.error.map(formatError));
    }
    const { errors, warnings } = checkDeclaration(parsed.value);
    const formatFinding = (finding: Finding) => formatError(locateField(text, finding));
    if (errors.length > 0) {
        return err(errors.map(formatFinding));
    }
    const document = { ...emptyDocument(), ...parsed.value };
    const findings = [...warnings, ...findUnusedEntries(document), ...findContradictoryLimits(document)];
    return ok({ declaration: parsed.value, warnings: findings.map(formatFinding), formatFinding });
}
