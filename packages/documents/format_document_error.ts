import type { DocumentError } from "./document_error.ts";

/**
 * Formats an error in the format of compiler messages.
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
    const location = `${file}:${error.line}:${error.column}`;
    return error.path === "" ? `${location}: ${error.message}` : `${location}: ${error.path}: ${error.message}`;
}
