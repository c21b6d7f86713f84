import type { DocumentOperation } from "./document_operation.ts";

/** A change of the configuration from the previous version to `version`. */
export interface ConfigurationChange {
    /** Version after the change. */
    version: number;
    /** Id of the command that made the change; a retry after a lost response is recognised by it. */
    attempt: string;
    /** The changed entries. */
    operations: DocumentOperation[];
}
