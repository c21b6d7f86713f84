import type { RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ProbeResult } from "./probe_result.ts";

/** Dependencies of `ReachabilityMonitor`. */
export interface ReachabilityMonitorOptions {
    /** Lists the registered servers that may be probed now. */
    servers(): RegisteredServer[];
    /** Asks a server something that does no work, on a new connection; resolves within half a second or so. */
    probe(server: RegisteredServer): Promise<ProbeResult>;
    /** Its time, in milliseconds, never runs slower than real time. */
    clock: { now(): number; };
    logger: Logger;
    metrics: Metrics;
    /** Returns a random number from 0 up to 1. Default: `Math.random`. */
    random?(): number;
    /** Waits until what has arrived on connections has been read. Default: two turns of the event loop. */
    poll?(): Promise<void>;
}
