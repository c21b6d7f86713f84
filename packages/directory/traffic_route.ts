import type { WeightedService } from "./weighted_service.ts";

/** Which requests go to which service, and under which limits. */
export interface TrafficRoute {
    name: string;
    /** Lower-case host name. */
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    /** How often a request may run: `"once"` at most once, `"stream"` a generation that is sent as events. */
    kind: "idempotent" | "once" | "stream";
    services: WeightedService[];
    /** Longest time that a caller may be kept waiting, in milliseconds. */
    timeoutMilliseconds: number;
    /** Time in milliseconds within which an answer has its full value. */
    targetLatencyMilliseconds: number;
    /** Backend servers that one request may be sent to. */
    maximumServers: number;
    /** Rank; 0 goes first. */
    priority: number;
    /** Whether callers need no key. */
    open: boolean;
    /** Whether a stream may be continued by another run that starts after the last event delivered. */
    resumable: boolean;
}
