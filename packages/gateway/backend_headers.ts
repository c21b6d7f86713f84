import { monotonicMilliseconds } from "../clocks/mod.ts";
import { computeEnginePriority } from "../decisions/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

/**
 * Builds the headers of a request for one backend server.
 *
 * @param request The request.
 * @param server The server.
 * @param names Names of the headers.
 * @returns Alternating names and values.
 * @example
 * ```ts
 * const headers = backendHeaders(request, server, names);
 * ```
 */
export function backendHeaders(request: GatewayRequest, server: RegisteredServer, names: ProtocolHeaders): string[] {
    const now = monotonicMilliseconds();
    const remaining = Math.max(1, Math.floor(request.deadline - now));
    const headers = [...request.headers, names.remainingMilliseconds, String(remaining)];
    headers.push(names.expectedServer, server.id);
    if (request.organisation) {
        headers.push(names.organisation, request.organisation.name);
    }
    if (request.urgencyRank !== undefined) {
        const isLate = !request.response.headersSent
            && (request.isLate || now > request.receivedAt + request.route.targetLatencyMilliseconds);
        headers.push(names.enginePriority, String(computeEnginePriority(request.urgencyRank, isLate)));
    }
    return headers;
}
