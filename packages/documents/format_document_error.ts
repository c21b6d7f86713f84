import type { DocumentError } from "./document_error.ts";

/**
 * Formats an error the way compilers do.
 *
 * @param file Name of the file.
 * @param error The error.
 * @returns `file:line:column: path: message`.
 * @example
 * ```ts
 * formatDocumentError("a.jsonc", { line: 1, column: 2, path: "name", message: "expected string" });
 * // "a.jsonc:1:2: name: expected string"
 * ```
 */
export function formatDocumentError(file: string, error: DocumentError): string {
    const place = `${file}:${error.line}:${error.column}`;
    return error.path === "" ? `${place}: ${error.message}` : `${place}: ${error.path}: ${error.message}`;
}
