import type { DocumentError } from "./document_error.ts";

/** An error together with the field that it is about. */
export interface DocumentProblem {
    /** Names of fields and positions in lists from the document to the field; a name may contain any character. */
    keys: (string | number)[];
    error: DocumentError;
}
