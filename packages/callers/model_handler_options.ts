import type { ConfigurationState } from "../configuration/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ModelRouter } from "../routing/mod.ts";

/** Dependencies of {@linkcode ModelHandler}. */
export interface ModelHandlerOptions {
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Routes the requests to engines. */
    router: ModelRouter;
    /** Receives latencies. */
    metrics: Metrics;
}
