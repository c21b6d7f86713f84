import type { DocumentOperation } from "./document_operation.ts";

/** What turned the document of the preceding version into that of `version`. */
export interface ConfigurationChange {
    /** Version after the change. */
    version: number;
    /** Identifies the command that made the change, so that a lost answer is recognised. */
    attempt: string;
    /** The differences. */
    operations: DocumentOperation[];
}
