import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

const RELAYED_VALUE = "1";

/** Builds the headers, as alternating names and values, with which a request is passed on to another instance. */
export function relayedHeaders(request: GatewayRequest, names: ProtocolHeaders): string[] {
    const remaining = Math.max(1, Math.floor(request.deadline - monotonicMilliseconds()));
    const key = request.key === undefined ? [] : [names.key, request.key];
    return [...request.headers, names.remainingMilliseconds, String(remaining), ...key, names.relayed, RELAYED_VALUE];
}
