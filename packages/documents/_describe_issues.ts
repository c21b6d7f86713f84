import { findNodeAtLocation, type Node } from "jsonc-parser";
import type * as z from "zod";
import { createProblem } from "./_create_problem.ts";
import type { DocumentProblem } from "./_document_problem.ts";

/** Locates what a schema has found wrong in a document. */
export function describeIssues(text: string, root: Node, issues: z.core.$ZodIssue[]): DocumentProblem[] {
    return issues.flatMap(issue => {
        const keys = issue.path.map(part => typeof part === "symbol" ? String(part) : part);
        return issue.code === "unrecognized_keys"
            ? issue.keys.map(key => locate(text, root, [...keys, key], "unknown field"))
            : [locate(text, root, keys, issue.message)];
    });
}

function locate(text: string, root: Node, keys: DocumentProblem["keys"], message: string): DocumentProblem {
    let node: Node | undefined = root;
    // A missing field has no node; its nearest parent gives the location.
    for (let length = keys.length; length >= 0; length--) {
        node = findNodeAtLocation(root, keys.slice(0, length));
        if (node) {
            break;
        }
    }
    return createProblem(text, node?.offset ?? 0, keys, message);
}
