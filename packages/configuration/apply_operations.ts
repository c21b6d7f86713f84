import type { ConfigurationDocument } from "./configuration_document.ts";
import type { DocumentOperation } from "./document_operation.ts";

/**
 * Applies operations to a configuration document.
 *
 * @param document The document; it is not modified.
 * @param operations The operations, in order.
 * @returns A new document, which shares unchanged entries with the given one.
 * @example
 * ```ts
 * applyOperations(emptyDocument(), [{ collection: "drainedServers", name: "decode-1", value: { since: "" } }]);
 * ```
 */
export function applyOperations(
    document: ConfigurationDocument,
    operations: DocumentOperation[],
): ConfigurationDocument {
    const next: ConfigurationDocument = { ...document };
    for (const operation of operations) {
        const collection: Record<string, unknown> = { ...next[operation.collection] };
        if (operation.value === undefined) {
            delete collection[operation.name];
        }
        else {
            collection[operation.name] = operation.value;
        }
        Object.assign(next, { [operation.collection]: collection });
    }
    return next;
}
