import type { ConfigurationChange } from "./configuration_change.ts";
import type { ConfigurationDocument } from "./configuration_document.ts";

/** The configuration as it is stored in the key-value service. */
export interface StoredConfiguration {
    /** Version of the document; each change increments it. */
    version: number;
    /** The document. */
    document: ConfigurationDocument;
    /** Most recent changes, oldest first, for instances that are a few versions behind. */
    recent: ConfigurationChange[];
    /** Era of the store in which an operator last changed it; absent if the store announces none, or between instances. */
    era?: number | undefined;
}
