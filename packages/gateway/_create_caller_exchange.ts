import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { CallerExchange } from "./caller_exchange.ts";

/** Creates the record of a request that begins now. */
export function createCallerExchange(id: string): CallerExchange {
    return {
        id,
        receivedAt: monotonicMilliseconds(),
        bodyBytes: 0,
        events: 0,
        lastEventId: undefined,
        answered: false,
        runs: 0,
        isCommitted: false,
        end: undefined,
    };
}
