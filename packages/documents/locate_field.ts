import { findNodeAtLocation, parseTree } from "jsonc-parser";
import type { DocumentError } from "./document_error.ts";

/**
 * Finds the line and column of a field in a document.
 *
 * @param text The document.
 * @param finding A problem with the field.
 * @param finding.path Path of the field.
 * @param finding.message Description of the problem.
 * @returns The finding with the location of the field, or of its nearest parent if the field is absent.
 * @example
 * ```ts
 * locateField('{ "a": 1 }', { path: "a", message: "is wrong" }).column; // 8
 * ```
 */
export function locateField(text: string, finding: { path: string; message: string; }): DocumentError {
    const root = parseTree(text, [], { allowTrailingComma: true });
    const path = finding.path === "" ? [] : finding.path.split(".");
    let offset = 0;
    for (let length = path.length; root && length >= 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node) {
            offset = node.offset;
            break;
        }
    }
    const before = text.slice(0, offset).split("\n");
    return { ...finding, line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}
