import type { ConfigurationState } from "../configuration/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { MemoryBudget } from "../memory/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { Refusal } from "../verdicts/mod.ts";
import type { ActiveRequests } from "./active_requests.ts";
import type { ModelHandler } from "./model_handler.ts";
import type { ServiceHandler } from "./service_handler.ts";

/** Dependencies of {@linkcode CallerServer}. */
export interface CallerServerOptions {
    /** Addresses and limits. */
    settings: Settings;
    /** Certificate and key, if callers use TLS. */
    tls?: { cert: Buffer; key: Buffer; } | undefined;
    /** Id of this instance, the first part of request ids. */
    instanceId: string;
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Serves model requests. */
    models: ModelHandler;
    /** Serves the routes of plain services. */
    serviceHandler: ServiceHandler;
    /** Memory that requests and answers may hold. */
    memory: MemoryBudget;
    /** Requests in progress. */
    active: ActiveRequests;
    /** Returns why the instance is not ready, or undefined if it is. */
    notReadyReason: () => string | undefined;
    /** Returns the refusal for requests with an API key while the instance cannot verify keys, otherwise undefined. */
    keyedRequestRefusal: () => Refusal | undefined;
    /** Receives request counts and latencies. */
    metrics: Metrics;
    /** Checks that a request runs only for the organisation of its key. */
    invariants: Invariants;
    /** Receives one entry per request. */
    logger: Logger;
}
