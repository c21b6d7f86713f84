/** Persistent HTTP connections to backend servers and to the store. */
export { AnswerMemory } from "./answer_memory.ts";
export type { BackendConnection } from "./backend_connection.ts";
export { BackendConnectionPool } from "./backend_connection_pool.ts";
export type { BackendFault } from "./backend_fault.ts";
export type { BackendRequest } from "./backend_request.ts";
export type { BackendResponse } from "./backend_response.ts";
export type { BodyFraming } from "./body_framing.ts";
export type { BodyMemory } from "./body_memory.ts";
export { hasStrayBytes } from "./has_stray_bytes.ts";
export { isResponseComplete } from "./is_response_complete.ts";
export { isWholeBody } from "./is_whole_body.ts";
export { onBackendResponse } from "./on_backend_response.ts";
export { readResponseBody } from "./read_response_body.ts";
export { readResponsePieces } from "./read_response_pieces.ts";
