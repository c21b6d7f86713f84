/** Calls to plain services. */
export { callService } from "./call_service.ts";
export { ServiceFailure } from "./service_failure.ts";
export type { ServiceRequest } from "./service_request.ts";
export type { ServiceResponse } from "./service_response.ts";
