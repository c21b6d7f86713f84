import { instanceId, type InstancePool, type InstanceServer } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Store } from "../store/mod.ts";
import { CommitRateLimiter } from "./commit_rate_limiter.ts";
import { onceParameters } from "./once_parameters.ts";
import type { OnceRecord } from "./once_record.ts";
import { OnceShard } from "./once_shard.ts";
import { shardOf } from "./shard_of.ts";

const COLLECT_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Shards of once-only records that this instance serves to all instances.
 *
 * Unlike other homed state, shards need no handover: the compare-and-swap of the store prevents a former home from
 * changing a shard that another home has changed.
 *
 * @example
 * ```ts
 * const shards = new HomedOnceShards(store, server, membership, pool, logger);
 * shards.count; // 0
 * ```
 */
export class HomedOnceShards {
    readonly #commitRateLimiter: CommitRateLimiter;
    readonly #shards = new Map<number, OnceShard>();

    /**
     * @param store Store that holds the shards.
     * @param server Receives calls from other instances.
     * @param membership Determines the members, which share the fleet's limit of writes.
     * @param pool Connections to them.
     * @param logger Receives errors of commits.
     */
    constructor(
        private readonly store: Store,
        server: InstanceServer,
        private readonly membership: Membership,
        private readonly pool: InstancePool,
        private readonly logger: Logger,
    ) {
        this.#commitRateLimiter = new CommitRateLimiter(() => membership.record.members.length);
        server.handle(
            "once.begin",
            onceParameters.begin,
            async params => await this.#findOrCreateShard(params.key).begin(params),
        );
        server.handle("once.finish", onceParameters.finish, async params => {
            return { stored: await this.#findOrCreateShard(params.key).finish(params) };
        });
        server.handle("once.known", onceParameters.known, async ({ shard }) => {
            return { records: this.#shards.get(shard)?.knownRecords ?? {} };
        });
    }

    /** Number of shards that were used so far. */
    get count(): number {
        return this.#shards.size;
    }

    #findOrCreateShard(key: string): OnceShard {
        const index = shardOf(key);
        let shard = this.#shards.get(index);
        if (!shard) {
            shard = new OnceShard(this.store, `once/${index}`, {
                commitRateLimiter: this.#commitRateLimiter,
                collectRecords: () => this.#collectRecords(index),
                logger: this.logger,
            });
            this.#shards.set(index, shard);
        }
        return shard;
    }

    /** Any member may have been a home of the shard in the seconds that the store has lost. */
    async #collectRecords(shard: number): Promise<Record<string, OnceRecord>[] | undefined> {
        const { membership, pool } = this;
        const members = membership.otherMembers;
        const collected = await Promise.all(members.map(async member => {
            const response = await pool.call(member, "once.known", { shard }, COLLECT_TIMEOUT_MILLISECONDS);
            const parsed = onceParameters.knownResponse.safeParse(response.unwrapOr(undefined));
            return parsed.success ? parsed.data.records : undefined;
        }));
        const isComplete = members.every((member, index) =>
            collected[index] !== undefined || membership.hasLeftOrTerminated(instanceId(member))
        );
        return isComplete ? collected.filter(records => records !== undefined) : undefined;
    }
}
