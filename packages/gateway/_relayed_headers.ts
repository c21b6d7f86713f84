import { monotonicMilliseconds } from "../clocks/mod.ts";
import { withoutHeaders } from "./_without_headers.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

/**
 * Builds the headers, as alternating names and values, with which a request is passed on to another instance. If a
 * part of its stream has been sent, they ask for the rest. The mark is the number of servers that the other one may send it to.
 */
export function relayedHeaders(request: GatewayRequest, names: ProtocolHeaders): string[] {
    const remaining = Math.max(1, Math.floor(request.deadline - monotonicMilliseconds()));
    const key = request.key === undefined ? [] : [names.key, request.key];
    const { lastEventId, runs } = request.exchange;
    const serversLeft = Math.max(1, request.route.maximumServers - runs);
    const resumed = lastEventId === undefined ? [] : [
        names.lastEventId,
        String(lastEventId),
        names.resumedAttempt,
        request.resumedStream?.firstAttempt ?? request.id,
    ];
    const headers = [...withoutHeaders(request.headers, resumed), ...resumed];
    return [...headers, names.remainingMilliseconds, String(remaining), ...key, names.relayed, String(serversLeft)];
}
