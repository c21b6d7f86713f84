import { getNodeValue, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { createProblem } from "./_create_problem.ts";
import { describeIssues } from "./_describe_issues.ts";
import { findDuplicateFields } from "./_find_duplicate_fields.ts";
import type { DocumentError } from "./document_error.ts";

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
    const duplicates = findDuplicateFields(text, root);
    if (duplicates.length > 0) {
        return err(duplicates.map(({ error }) => error));
    }
    const validation = schema.safeParse(getNodeValue(root));
    if (validation.success) {
        return ok(validation.data);
    }
    return err(describeIssues(text, root, validation.error.issues).map(({ error }) => error));
}

function describeSyntaxErrors(text: string, errors: ParseError[]): DocumentError[] {
    return errors.map(({ offset, error }) =>
        createProblem(text, offset, [], `invalid JSON: ${printParseErrorCode(error)}`).error
    );
}
