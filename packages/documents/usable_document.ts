import type { DocumentError } from "./document_error.ts";

/** What can be used of a document. */
export interface UsableDocument<Value> {
    /** The validated value, without what cannot be used. */
    value: Value;
    /** Errors of the fields and entries that were left out. */
    leftOut: DocumentError[];
}
