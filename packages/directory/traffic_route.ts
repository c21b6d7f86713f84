import type { WeightedService } from "./weighted_service.ts";

/** Assigns requests to services and sets their limits. */
export interface TrafficRoute {
    name: string;
    /** Host name in lower case. */
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    /**
     * Whether a request may run more than once: `"idempotent"` may, `"once"` must not. `"stream"` is a generation whose
     * output is sent as events.
     */
    kind: "idempotent" | "once" | "stream";
    services: WeightedService[];
    /** Longest time in milliseconds until the response must have ended. */
    timeoutMilliseconds: number;
    /** Target latency in milliseconds; a later response is worth less. */
    targetLatencyMilliseconds: number;
    /** Longest pause in milliseconds between two events of a stream that is still on time; 0 if there is no such limit. */
    targetGapMilliseconds: number;
    /** Largest number of backend servers that may run one request. */
    maximumServers: number;
    /** Priority; 0 is served first. */
    priority: number;
    /** Whether callers need no API key. */
    open: boolean;
    /** Whether a stream may be continued by another run that starts after the last delivered event. */
    resumable: boolean;
}
