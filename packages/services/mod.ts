/** Calls to plain services. */
export { callService } from "./call_service.ts";
export type { ServiceAnswer } from "./service_answer.ts";
export { ServiceFailure } from "./service_failure.ts";
export type { ServiceRequest } from "./service_request.ts";
