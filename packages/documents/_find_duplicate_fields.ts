import type { Node } from "jsonc-parser";
import { createProblem } from "./_create_problem.ts";
import type { DocumentProblem } from "./_document_problem.ts";

/** Finds the fields that are set twice within a part of a document that the keys lead to. */
export function findDuplicateFields(text: string, node: Node, keys: DocumentProblem["keys"] = []): DocumentProblem[] {
    if (node.type === "array") {
        return (node.children ?? []).flatMap((child, index) => findDuplicateFields(text, child, [...keys, index]));
    }
    if (node.type !== "object") {
        return [];
    }
    const seen = new Set<string>();
    const duplicates: DocumentProblem[] = [];
    for (const property of node.children ?? []) {
        const [nameNode, valueNode] = property.children ?? [];
        const name = String(nameNode?.value);
        const fieldKeys = [...keys, name];
        if (seen.has(name)) {
            duplicates.push(createProblem(text, property.offset, fieldKeys, "field is set twice"));
        }
        seen.add(name);
        if (valueNode) {
            duplicates.push(...findDuplicateFields(text, valueNode, fieldKeys));
        }
    }
    return duplicates;
}
