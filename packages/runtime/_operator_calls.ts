import * as z from "zod";
import { configurationChangeSchema, type ConfigurationState } from "../configuration/mod.ts";
import type { EnginePool } from "../engines/mod.ts";
import type { ConfigurationFollower, Heartbeats } from "../fleet/mod.ts";
import type { HomeManager } from "../homes/mod.ts";
import type { InstanceServer } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { HomedServerLedgers } from "../reservations/mod.ts";

interface OperatorCallOptions {
    server: InstanceServer;
    configuration: ConfigurationState;
    membership: Membership;
    follower: ConfigurationFollower;
    heartbeats: Heartbeats;
    homes: HomeManager;
    serverLedgers: HomedServerLedgers;
    engines: EnginePool;
}

const changeParameters = z.object({
    /** Version that the change is based on; any version if absent. */
    baseVersion: z.int().min(0).optional(),
    change: configurationChangeSchema,
});

const orderParameters = z.object({
    server: z.string().max(64),
    kind: z.enum(["load-model", "load-adapter", "load-version", "change-role"]),
    target: z.string().min(1).max(128),
});

/** Registers the methods that the command line calls. */
export function registerOperatorCalls(options: OperatorCallOptions): void {
    const { server, configuration, membership, follower, heartbeats, homes, serverLedgers, engines } = options;
    server.handle("operators.configuration", z.object({}), async () => configuration.snapshot(), "operator");
    server.handle("operators.change", changeParameters, async ({ baseVersion, change }) => {
        const outcome = await follower.change(baseVersion, change.operations, change.attempt);
        return outcome.match(
            value => value,
            failure => ({ kind: "failed", verdict: failure.verdict, message: failure.message }),
        );
    }, "operator");
    server.handle("operators.status", z.object({}), async () => ({
        instance: membership.self.name,
        epoch: membership.record.epoch,
        version: configuration.version,
        homes: homes.activeCount,
        pending: homes.pendingCount,
        servers: serverLedgers.describe(),
        fleet: [
            { instance: membership.self.name, version: configuration.version, epoch: membership.record.epoch },
            ...await heartbeats.queryMembers(),
        ],
    }), "operator");
    server.handle("operators.order", orderParameters, async ({ server: name, kind, target }) => {
        const backendServer = configuration.document.backendServers[name];
        if (!backendServer) {
            return { kind: "failed", message: `Backend server ${name} is not configured` };
        }
        // The configuration version serves as the fencing token: it increases with each change and never decreases.
        const fence = configuration.version;
        const result = await engines.at(backendServer.address).order({ fence, kind, target });
        return result.match(
            () => ({ kind: "done" }),
            failure => ({ kind: "failed", verdict: failure.verdict, message: failure.message }),
        );
    }, "operator");
}
