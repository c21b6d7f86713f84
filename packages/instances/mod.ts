/** Calls between instances, and from operators to instances: JSON-RPC 2.0 over persistent TCP connections. */
export { addressSchema } from "./address_schema.ts";
export { BackgroundListener } from "./background_listener.ts";
export type { CallContext } from "./call_context.ts";
export { CallFailure } from "./call_failure.ts";
export { encodeFrame } from "./encode_frame.ts";
export { FrameDecoder } from "./frame_decoder.ts";
export { InstanceClient } from "./instance_client.ts";
export type { InstanceClientOptions } from "./instance_client_options.ts";
export { instanceId } from "./instance_id.ts";
export type { InstanceIdentity } from "./instance_identity.ts";
export { InstancePool } from "./instance_pool.ts";
export { InstanceServer } from "./instance_server.ts";
export type { InstanceServerOptions } from "./instance_server_options.ts";
export { listen } from "./listen.ts";
export { parseAddress } from "./parse_address.ts";
