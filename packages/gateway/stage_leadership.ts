import { type CoordinationStore, Leadership } from "../coordination/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { RolloutDecider } from "./rollout_decider.ts";
import { StageBalancer } from "./stage_balancer.ts";

/** Store key of the item that names the leader, which orders engines to change their stage. */
const STAGE_LEADER_KEY = "laburnumslip/stage-leader";

/**
 * This instance's part in the election of the leader that orders engines to change their stage and decides on roll-outs,
 * and the orders and decisions.
 *
 * @example
 * ```ts
 * const stageLeadership = new StageLeadership(context, store, replica);
 * await stageLeadership.close();
 * ```
 */
export class StageLeadership {
    readonly #leadership: Leadership;
    readonly balancer: StageBalancer;
    readonly #rolloutDecider: RolloutDecider;

    /**
     * @param context Shared objects of the gateway.
     * @param store Store that the leader is elected through.
     * @param replica Replica of the store's items.
     */
    constructor(context: GatewayContext, store: CoordinationStore, replica: ItemReplica) {
        const { name, bounds, firstStart } = context.settings();
        this.#leadership = new Leadership({
            key: STAGE_LEADER_KEY,
            self: name,
            leaseMilliseconds: bounds.leaseMilliseconds,
            isFirstStart: firstStart,
            instanceCount: context.instanceCount,
            store,
            replica,
            clock: context.clock,
            logger: context.logger,
        });
        this.balancer = new StageBalancer(context, this.#leadership, name);
        this.#rolloutDecider = new RolloutDecider(context, this.#leadership, store, replica);
    }

    /**
     * Gives up the leadership, so that another instance can take it.
     *
     * @returns A promise that resolves once the store has responded or the call has timed out.
     */
    async close(): Promise<void> {
        await Promise.all([this.balancer.close(), this.#rolloutDecider.close()]);
        await this.#leadership.close();
    }
}
