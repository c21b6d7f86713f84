/** The router behind a platform's load balancer: admission, server selection, prefill and decode, relaying. */
export type { EngineCall } from "./engine_call.ts";
export type { EngineProtocol } from "./engine_protocol.ts";
export type { EngineReport } from "./engine_report.ts";
export { EventSplitter } from "./event_splitter.ts";
export { Gateway } from "./gateway.ts";
export type { GatewayAdapter } from "./gateway_adapter.ts";
export type { GatewaySettings } from "./gateway_settings.ts";
export { gatewaySettingsSchema } from "./gateway_settings_schema.ts";
export { loadGatewaySettings } from "./load_gateway_settings.ts";
export type { LoadedGatewaySettings } from "./loaded_gateway_settings.ts";
export type { PrefillHandle } from "./prefill_handle.ts";
export type { PromptHistory } from "./prompt_history.ts";
export type { ProtocolHeaders } from "./protocol_headers.ts";
