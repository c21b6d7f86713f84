/** HTTP interface for callers: OpenAI-compatible model requests, plain services, health checks and metrics. */
export { ActiveRequests } from "./active_requests.ts";
export { authenticate } from "./authenticate.ts";
export type { CallerIdentity } from "./caller_identity.ts";
export { CallerServer } from "./caller_server.ts";
export type { CallerServerOptions } from "./caller_server_options.ts";
export { drainCallers } from "./drain_callers.ts";
export { ModelHandler } from "./model_handler.ts";
export type { ModelHandlerOptions } from "./model_handler_options.ts";
export type { ModelRequest } from "./model_request.ts";
export { parseModelRequest } from "./parse_model_request.ts";
export { ServiceHandler } from "./service_handler.ts";
export type { ServiceHandlerOptions } from "./service_handler_options.ts";
