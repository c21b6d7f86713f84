import { isDeepStrictEqual } from "node:util";
import type { ConfigurationDocument } from "./configuration_document.ts";
import type { DocumentOperation } from "./document_operation.ts";

/**
 * Lists the operations that turn one document into another.
 *
 * @param before The document to start from.
 * @param after The collections wanted; a collection that is absent is left as it is.
 * @returns The operations; none if the documents agree.
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
        const old: Record<string, unknown> = before[collection];
        const wanted: Record<string, unknown> = after[collection] ?? {};
        for (const name of Object.keys(old)) {
            if (!(name in wanted)) {
                operations.push({ collection, name });
            }
        }
        for (const [name, value] of Object.entries(wanted)) {
            if (!isDeepStrictEqual(old[name], value)) {
                operations.push({ collection, name, value });
            }
        }
    }
    return operations;
}
