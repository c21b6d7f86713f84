import { PeriodicTask } from "../clocks/mod.ts";
import type { CoordinationStore, Leadership } from "../coordination/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { nextPhase, type PhaseChange, phaseRank, type RolloutState } from "../rollouts/mod.ts";
import { isProvedState } from "./_is_proved_state.ts";
import { parseRolloutState } from "./_parse_rollout_state.ts";
import type { ServiceRollout } from "./_service_rollout.ts";
import type { GatewayContext } from "./gateway_context.ts";

const STEP_MILLISECONDS = 250;
/** Time in milliseconds that a request may take if no route leads to its service. */
const DEFAULT_REQUEST_MILLISECONDS = 1_000;
/** Time in milliseconds after the store's return for which a new leader leaves the state to instances that know it. */
const RETURN_MILLISECONDS = 2_000;
/** Shortest time in milliseconds for which other instances leave it to the leader to write again what they know. */
const LEADER_MILLISECONDS = 1_000;
/** Time in milliseconds, for each instance, over which these spread their writes. */
const SPREAD_MILLISECONDS = 10;

/**
 * Decides the phases of roll-outs. Every instance judges the versions; only the leader decides, and writes each phase to
 * the store under the condition that nobody else has written one since it read the last. So a write that arrives late, of
 * a former leader too, has no effect. What a copy of the store lacks, instances that know it write again.
 *
 * @example
 * ```ts
 * const decider = new RolloutDecider(context, leadership, store, replica);
 * await decider.close();
 * ```
 */
export class RolloutDecider {
    readonly #task: PeriodicTask;
    /** By service: time in milliseconds from which this instance writes again what the leader has left undone. */
    readonly #writeAt = new Map<string, number>();

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
            if (await this.#keep(rollout)) {
                continue;
            }
            if (this.leadership.fence() !== undefined && !this.#mayBeKnown(rollout)) {
                await this.#decide(rollout);
            }
        }
    }

    /**
     * Writes the phase that this instance knows again, if the store has come back from a copy that lacks it or that may.
     *
     * @returns Whether the store does not hold it yet.
     */
    async #keep(rollout: ServiceRollout): Promise<boolean> {
        const { clock, instanceCount } = this.context;
        const { phase, order: { service } } = rollout;
        const { era } = this.replica.position;
        const stored = this.#storedState(rollout);
        const isStored = stored?.era === era && phaseRank(stored.phase) >= phaseRank(phase);
        if (phase === undefined || rollout.phaseEra === era || isStored) {
            this.#writeAt.delete(service);
            rollout.phaseEra = era;
            return false;
        }
        const spread = () => LEADER_MILLISECONDS + Math.random() * instanceCount() * SPREAD_MILLISECONDS;
        const writeAt = this.#writeAt.get(service) ?? clock.now() + spread();
        this.#writeAt.set(service, writeAt);
        if (this.leadership.fence() !== undefined || clock.now() >= writeAt) {
            await this.#write(rollout, { phase, reason: "store's return" }, clock.now());
        }
        return true;
    }

    /** Whether the store has just come back from a copy, so that instances may know more than it and this one. */
    #mayBeKnown(rollout: ServiceRollout): boolean {
        const item = this.replica.getStored(this.context.rollouts.stateKey(rollout.order.service));
        const stored = this.#storedState(rollout);
        return item !== undefined && stored !== undefined
            && !isProvedState(stored, item, this.replica, rollout.phase)
            && this.context.clock.now() - this.replica.eraEnteredAt < RETURN_MILLISECONDS;
    }

    #storedState({ order }: ServiceRollout): RolloutState | undefined {
        const value = this.replica.getStored(this.context.rollouts.stateKey(order.service))?.value;
        const state = value === undefined ? undefined : parseRolloutState(value);
        return state?.order === order.id ? state : undefined;
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
            await this.#write(rollout, change, now);
        }
    }

    async #write(rollout: ServiceRollout, { phase, reason }: PhaseChange, now: number): Promise<void> {
        const { rollouts, logger, metrics, encodeRolloutStatus } = this.context;
        const { id, service, version } = rollout.order;
        const elapsed = Math.max(0, Math.round(rollout.elapsed(now)));
        const { era } = this.replica.position;
        const state: RolloutState = {
            order: id,
            service,
            version,
            phase,
            elapsedMilliseconds: elapsed,
            orderedAt: Date.now() - elapsed,
            refused: [...rollout.refused],
            era,
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
            rollout.apply(state, undefined, now, era);
            rollout.phaseEra = era;
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
