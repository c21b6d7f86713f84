import type { GatewayRequest } from "./gateway_request.ts";

/** Whether a stream of which a part has been sent may go on within the same answer, wherever it runs next. */
export function mayGoOn({ route, exchange, resumedStream, response }: GatewayRequest): boolean {
    const hasOrigin = resumedStream === undefined || resumedStream.firstAttempt !== undefined;
    return route.resumable && exchange.lastEventId !== undefined && hasOrigin && !response.destroyed;
}
