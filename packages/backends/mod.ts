/** Kept-open HTTP connections to backend servers and to the store. */
export type { BackendAnswer } from "./backend_answer.ts";
export { BackendConnections } from "./backend_connections.ts";
export type { BackendFault } from "./backend_fault.ts";
export type { BackendRequest } from "./backend_request.ts";
export { isAnswerComplete } from "./is_answer_complete.ts";
export { readAnswerBody } from "./read_answer_body.ts";
