/** Parsing of JSON with comments against a schema, with the location of each error. */
export type { DocumentError } from "./document_error.ts";
export { formatDocumentError } from "./format_document_error.ts";
export { locateField } from "./locate_field.ts";
export { parseDocument } from "./parse_document.ts";
export { parseUsableDocument } from "./parse_usable_document.ts";
export type { UsableDocument } from "./usable_document.ts";
