import { parse, type ParseError, parseTree } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { describeIssues } from "./_describe_issues.ts";
import type { DocumentProblem } from "./_document_problem.ts";
import { findDuplicateFields } from "./_find_duplicate_fields.ts";
import type { DocumentError } from "./document_error.ts";
import { parseDocument } from "./parse_document.ts";
import type { UsableDocument } from "./usable_document.ts";

/**
 * Parses JSON with comments and validates it against a schema. Fields and entries of lists that are invalid or unknown are
 * left out, as far as the schema does not require them.
 *
 * @param text The document.
 * @param schema The schema.
 * @returns What can be used, or every error if a field that is required is missing or invalid.
 * @example
 * ```ts
 * const schema = z.strictObject({ port: z.number(), comment: z.string().optional() });
 * parseUsableDocument('{ "port": 80, "comment": 7 }', schema); // ok, { port: 80 }
 * ```
 */
export function parseUsableDocument<Schema extends z.ZodType>(
    text: string,
    schema: Schema,
): Result<UsableDocument<z.infer<Schema>>, DocumentError[]> {
    const whole = parseDocument(text, schema);
    if (whole.isOk()) {
        return ok({ value: whole.value, leftOut: [] });
    }
    const syntaxErrors: ParseError[] = [];
    const root = parseTree(text, syntaxErrors, { allowTrailingComma: true });
    if (!root || syntaxErrors.length > 0) {
        return err(whole.error);
    }
    const document: unknown = parse(text, [], { allowTrailingComma: true });
    // What the schema finds wrong beside fields that are set twice shows only without those.
    const problems = findDuplicateFields(text, root);
    problems.forEach(({ keys }) => remove(document, keys));
    const issues = schema.safeParse(document).error?.issues ?? [];
    const invalid = describeIssues(text, root, issues);
    // From the last one on, so that the positions of earlier entries of the same list remain valid.
    withoutRepeats(invalid).toReversed().forEach(({ keys }) => remove(document, keys));
    const leftOut = withoutRepeats([...problems, ...invalid]).map(({ error }) => error);
    const usable = schema.safeParse(document);
    return usable.success ? ok({ value: usable.data, leftOut }) : err(leftOut);
}

/** Keeps one problem with each field. */
function withoutRepeats(problems: DocumentProblem[]): DocumentProblem[] {
    return [...new Map(problems.map(problem => [JSON.stringify(problem.keys), problem])).values()];
}

function remove(container: unknown, [key = "", ...rest]: DocumentProblem["keys"]): void {
    if (!(container instanceof Object)) {
        return;
    }
    if (rest.length > 0) {
        remove((container as Record<string, unknown>)[key], rest);
    }
    else if (Array.isArray(container)) {
        container.splice(Number(key), 1);
    }
    else {
        delete (container as Record<string, unknown>)[key];
    }
}
