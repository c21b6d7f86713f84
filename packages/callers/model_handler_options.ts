import type { ConfigurationState } from "../configuration/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ModelRouter } from "../routing/mod.ts";

/** What {@linkcode ModelHandler} works with. */
export interface ModelHandlerOptions {
    /** Configuration in force. */
    configuration: ConfigurationState;
    /** Serves the requests. */
    router: ModelRouter;
    /** Receives latencies. */
    metrics: Metrics;
}
