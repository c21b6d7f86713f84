import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { getNodeValue } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import type { DocumentError } from "./document_error.ts";

type Path = (string | number)[];

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @param text The document.
 * @param schema The schema.
 * @returns The validated value, or every error with its location.
 * @example
 * ```ts
 * const result = parseDocument('{ "port": 80 } // comment', z.strictObject({ port: z.number() }));
 * result.isOk(); // true
 * ```
 */
export function parseDocument<Schema extends z.ZodType>(
    text: string,
    schema: Schema,
): Result<z.infer<Schema>, DocumentError[]> {
    const syntaxErrors: ParseError[] = [];
    const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
    if (syntaxErrors.length > 0 || !root) {
        return err(describeSyntaxErrors(text, syntaxErrors));
    }
    const duplicates = findDuplicateFields(text, root, []);
    if (duplicates.length > 0) {
        return err(duplicates);
    }
    const validation = schema.safeParse(getNodeValue(root));
    if (validation.success) {
        return ok(validation.data);
    }
    return err(validation.error.issues.flatMap(issue => describeIssue(text, root, issue)));
}

function describeSyntaxErrors(text: string, errors: ParseError[]): DocumentError[] {
    return errors.map(error => ({
        ...locationAt(text, error.offset),
        path: "",
        message: `invalid JSON: ${printParseErrorCode(error.error)}`,
    }));
}

function findDuplicateFields(text: string, node: Node, path: Path): DocumentError[] {
    if (node.type === "array") {
        return (node.children ?? []).flatMap((child, index) => findDuplicateFields(text, child, [...path, index]));
    }
    if (node.type !== "object") {
        return [];
    }
    const seen = new Set<string>();
    const duplicates: DocumentError[] = [];
    for (const property of node.children ?? []) {
        const [nameNode, valueNode] = property.children ?? [];
        const name = String(nameNode?.value);
        const fieldPath = [...path, name];
        if (seen.has(name)) {
            duplicates.push({
                ...locationAt(text, property.offset),
                path: fieldPath.join("."),
                message: "field is set twice",
            });
        }
        seen.add(name);
        if (valueNode) {
            duplicates.push(...findDuplicateFields(text, valueNode, fieldPath));
        }
    }
    return duplicates;
}

function describeIssue(text: string, root: Node, issue: z.core.$ZodIssue): DocumentError[] {
    const path = issue.path.map(part => typeof part === "symbol" ? String(part) : part);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => createError(text, root, [...path, key], "unknown field"));
    }
    return [createError(text, root, path, issue.message)];
}

function createError(text: string, root: Node, path: Path, message: string): DocumentError {
    let node: Node | undefined = root;
    // A missing field has no node; its nearest parent gives the location.
    for (let length = path.length; length >= 0; length--) {
        node = findNodeAtLocation(root, path.slice(0, length));
        if (node) {
            break;
        }
    }
    return { ...locationAt(text, node?.offset ?? 0), path: path.join("."), message };
}

function locationAt(text: string, offset: number): { line: number; column: number; } {
    const before = text.slice(0, offset).split("\n");
    return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 };
}
