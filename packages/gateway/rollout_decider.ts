import { PeriodicTask } from "../clocks/mod.ts";
import type { CoordinationStore, Leadership } from "../coordination/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { nextPhase, type PhaseChange, type RolloutState } from "../rollouts/mod.ts";
import type { ServiceRollout } from "./_service_rollout.ts";
import type { GatewayContext } from "./gateway_context.ts";

const STEP_MILLISECONDS = 250;
/** Time in milliseconds that a request may take if no route leads to its service. */
const DEFAULT_REQUEST_MILLISECONDS = 1_000;

/**
 * Decides the phases of roll-outs. Every instance judges the versions; only the leader decides, and writes each phase to
 * the store under the condition that nobody else has written one since it read the last. So a write that arrives late, of
 * a former leader too, has no effect.
 *
 * @example
 * ```ts
 * const decider = new RolloutDecider(context, leadership, store, replica);
 * await decider.close();
 * ```
 */
export class RolloutDecider {
    readonly #task: PeriodicTask;

    /**
     * @param context Shared objects of the gateway.
     * @param leadership Provides the fencing token while this instance may decide.
     * @param store Store of the states.
     * @param replica Replica of the store's items.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly leadership: Pick<Leadership, "fence">,
        private readonly store: Pick<CoordinationStore, "write">,
        private readonly replica: ItemReplica,
    ) {
        this.#task = new PeriodicTask(STEP_MILLISECONDS, () => this.#step(), error => {
            context.logger.error("roll-out decider failed", { error: String(error) });
        });
    }

    /**
     * Stops deciding.
     *
     * @returns A promise that resolves once the current write has ended.
     */
    async close(): Promise<void> {
        await this.#task.close();
    }

    async #step(): Promise<void> {
        const { rollouts } = this.context;
        rollouts.judge();
        for (const rollout of rollouts.rollouts.values()) {
            if (this.leadership.fence() !== undefined) {
                await this.#decide(rollout);
            }
        }
    }

    async #decide(rollout: ServiceRollout): Promise<void> {
        const now = this.context.clock.now();
        const { service } = rollout.order;
        const servers = this.context.availability.usableServers(service);
        const change = nextPhase({
            phase: rollout.phase,
            elapsed: rollout.elapsed(now),
            inPhase: rollout.inPhase(now),
            schedule: rollout.schedule(this.#requestMilliseconds(service)),
            judgement: rollout.judgement,
            isWithdrawn: rollout.isWithdrawn,
            newCapacity: sumSlots(servers.filter(server => rollout.isNew(server))),
            oldCapacity: sumSlots(servers.filter(server => rollout.isOld(server))),
        });
        if (change) {
            await this.#enter(rollout, change, now);
        }
    }

    async #enter(rollout: ServiceRollout, { phase, reason }: PhaseChange, now: number): Promise<void> {
        const { rollouts, logger, metrics, encodeRolloutStatus } = this.context;
        const { id, service, version } = rollout.order;
        const elapsed = Math.max(0, Math.round(rollout.elapsed(now)));
        const state: RolloutState = {
            order: id,
            service,
            version,
            phase,
            elapsedMilliseconds: elapsed,
            orderedAt: Date.now() - elapsed,
            refused: [...rollout.refused],
        };
        const key = rollouts.stateKey(service);
        const stored = this.replica.getStored(key);
        const condition = stored
            ? { unchangedSince: { era: stored.era, revision: stored.revision } }
            : { isNew: true };
        const status = phase === "completed" || phase === "rolled-back" ? phase : "running";
        const written = await this.store.write([
            { key, value: JSON.stringify(state), ...condition },
            encodeRolloutStatus({ service, version, state: status }),
        ]);
        const outcome = written.isOk() ? written.value.kind : written.error.message;
        metrics.increment("rollout_phases_total", { service, phase, result: written.isOk() ? outcome : "failed" });
        logger.info("roll-out enters a phase", {
            service,
            version,
            order: id,
            from: rollout.phase,
            phase,
            reason,
            elapsed,
            fence: this.leadership.fence(),
            outcome,
            ...rollout.judgement,
        });
        if (written.isOk() && written.value.kind === "stored") {
            rollout.apply(state, undefined, now);
        }
    }

    /** Longest time that a route gives a request to the service. */
    #requestMilliseconds(service: string): number {
        const routes = this.context.directory.configuration?.routes ?? [];
        const timeouts = routes
            .filter(({ services }) => services.some(part => part.service === service))
            .map(({ timeoutMilliseconds }) => timeoutMilliseconds);
        return timeouts.length > 0 ? Math.max(...timeouts) : DEFAULT_REQUEST_MILLISECONDS;
    }
}

function sumSlots(servers: RegisteredServer[]): number {
    return servers.reduce((sum, { slots }) => sum + slots, 0);
}
