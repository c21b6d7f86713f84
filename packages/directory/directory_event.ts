import type { FleetConfiguration } from "./fleet_configuration.ts";
import type { RegisteredServer } from "./registered_server.ts";
import type { RolloutOrder } from "./rollout_order.ts";

/** A change of the directory, decoded from a change of a stored item. */
export type DirectoryEvent =
    | { kind: "configuration"; configuration: FleetConfiguration; }
    | { kind: "server"; server: RegisteredServer; }
    | { kind: "server-removed"; id: string; }
    | { kind: "domain-drained"; failureDomain: string; }
    | { kind: "domain-restored"; failureDomain: string; }
    | { kind: "rollout-ordered"; order: RolloutOrder; }
    | { kind: "rollout-withdrawn"; service: string; }
    | { kind: "unreadable"; key: string; message: string; };
