import type { ConfigurationChange } from "./configuration_change.ts";
import type { ConfigurationDocument } from "./configuration_document.ts";

/** Value of the store that holds the configuration. */
export interface StoredConfiguration {
    /** Version of the document; each accepted change adds one. */
    version: number;
    /** The document. */
    document: ConfigurationDocument;
    /** Latest changes, oldest first, for instances that are a few versions behind. */
    recent: ConfigurationChange[];
}
