import type { DocumentProblem } from "./_document_problem.ts";

/** Creates a problem with the field that the keys lead to, located at an offset of the text. */
export function createProblem(
    text: string,
    offset: number,
    keys: DocumentProblem["keys"],
    message: string,
): DocumentProblem {
    const before = text.slice(0, offset).split("\n");
    const error = { line: before.length, column: (before.at(-1)?.length ?? 0) + 1, path: keys.join("."), message };
    return { keys, error };
}
