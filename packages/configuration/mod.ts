/** Declarations of operators, key grants and drains, and how one version follows another. */
export { applyOperations } from "./apply_operations.ts";
export type { BackendServer } from "./backend_server.ts";
export type { Change } from "./change.ts";
export { changeSchema } from "./change_schema.ts";
export { checkDeclaration } from "./check_declaration.ts";
export type { ConfigurationDocument } from "./configuration_document.ts";
export { ConfigurationState } from "./configuration_state.ts";
export type { Declaration } from "./declaration.ts";
export { declarationSchema } from "./declaration_schema.ts";
export { diffDocuments } from "./diff_documents.ts";
export { emptyDocument } from "./empty_document.ts";
export { hashKey } from "./hash_key.ts";
export type { Operation } from "./operation.ts";
export type { Organisation } from "./organisation.ts";
export type { Route } from "./route.ts";
export type { Selector } from "./selector.ts";
export type { StoredConfiguration } from "./stored_configuration.ts";
export { storedConfigurationSchema } from "./stored_configuration_schema.ts";
