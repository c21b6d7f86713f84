import type { ConfigurationState } from "../configuration/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { Settings } from "../settings/mod.ts";
import type { Refusal } from "../verdicts/mod.ts";
import type { ActiveRequests } from "./active_requests.ts";
import type { ModelHandler } from "./model_handler.ts";
import type { ServiceHandler } from "./service_handler.ts";

/** What {@linkcode CallerServer} works with. */
export interface CallerServerOptions {
    /** Addresses and limits. */
    settings: Settings;
    /** Certificate and key, if callers use TLS. */
    tls?: { cert: Buffer; key: Buffer; } | undefined;
    /** Id of this instance, the first part of request ids. */
    instanceId: string;
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Answers model requests. */
    models: ModelHandler;
    /** Answers plain routes. */
    serviceHandler: ServiceHandler;
    /** Requests under way. */
    active: ActiveRequests;
    /** Says why the instance is not ready, if it is not. */
    notReadyReason: () => string | undefined;
    /** Says why requests with keys are refused at the moment, if they are. */
    keyedRequestRefusal: () => Refusal | undefined;
    /** Receives counts and latencies. */
    metrics: Metrics;
    /** Checks that a request runs only for the organisation of its key. */
    invariants: Invariants;
    /** Receives one entry a request. */
    logger: Logger;
}
