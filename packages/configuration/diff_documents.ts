import { isDeepStrictEqual } from "node:util";
import type { ConfigurationDocument } from "./configuration_document.ts";
import type { DocumentOperation } from "./document_operation.ts";

/**
 * Lists the operations that turn one document into another.
 *
 * @param before The document to start from.
 * @param after The desired collections; an absent collection is left unchanged.
 * @returns The operations; none if the documents are equal.
 * @example
 * ```ts
 * diffDocuments(emptyDocument(), { drainedDomains: { riga: { since: "" } } }).length; // 1
 * ```
 */
export function diffDocuments(
    before: ConfigurationDocument,
    after: Partial<ConfigurationDocument>,
): DocumentOperation[] {
    const operations: DocumentOperation[] = [];
    for (const collection of Object.keys(after) as (keyof ConfigurationDocument)[]) {
        const current: Record<string, unknown> = before[collection];
        const desired: Record<string, unknown> = after[collection] ?? {};
        for (const name of Object.keys(current)) {
            if (!(name in desired)) {
                operations.push({ collection, name });
            }
        }
        for (const [name, value] of Object.entries(desired)) {
            if (!isDeepStrictEqual(current[name], value)) {
                operations.push({ collection, name, value });
            }
        }
    }
    return operations;
}
