import type { ConfigurationDocument } from "./configuration_document.ts";

/** Sets one named entry of a configuration document, or removes it if `value` is absent. */
export interface DocumentOperation {
    /** Collection of the document. */
    collection: keyof ConfigurationDocument;
    /** Name of the entry. */
    name: string;
    /** New value; absent to remove the entry. */
    value?: unknown;
}
