import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { checkDeclaration, type Declaration, declarationSchema } from "../configuration/mod.ts";
import { type DocumentError, formatDocumentError, locateField, parseDocument } from "../documents/mod.ts";

const MAXIMUM_BYTES = 1_000_000;

/** A valid declaration. */
interface ReadDeclaration {
    declaration: Declaration;
    /** One line for each entry that has no effect. */
    warnings: string[];
}

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
export async function readDeclaration(file: string): Promise<Result<ReadDeclaration, string[]>> {
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
    const formatFinding = (finding: { path: string; message: string; }) => formatError(locateField(text, finding));
    if (errors.length > 0) {
        return err(errors.map(formatFinding));
    }
    return ok({ declaration: parsed.value, warnings: warnings.map(formatFinding) });
}
