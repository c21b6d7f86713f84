import type { ConfigurationDocument } from "./configuration_document.ts";

/** Sets one named entry of a document, or removes it when `value` is absent. */
export interface DocumentOperation {
    /** Collection of the document. */
    collection: keyof ConfigurationDocument;
    /** Name of the entry. */
    name: string;
    /** New value. */
    value?: unknown;
}
