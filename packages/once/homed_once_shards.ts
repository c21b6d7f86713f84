import type { InstanceServer } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Store } from "../store/mod.ts";
import { CommitRateLimiter } from "./commit_rate_limiter.ts";
import { onceParameters } from "./once_parameters.ts";
import { OnceShard } from "./once_shard.ts";
import { shardOf } from "./shard_of.ts";

/**
 * Shards of once-only records that this instance serves to all instances.
 *
 * Unlike other homed state, shards need no handover: the compare-and-swap of the store prevents a former home from
 * changing a shard that another home has changed.
 *
 * @example
 * ```ts
 * const shards = new HomedOnceShards(store, server, membership);
 * shards.count; // 0
 * ```
 */
export class HomedOnceShards {
    readonly #commitRateLimiter: CommitRateLimiter;
    readonly #shards = new Map<number, OnceShard>();

    /**
     * @param store Store that holds the shards.
     * @param server Receives calls from other instances.
     * @param membership Determines how many instances share the fleet's limit of writes.
     */
    constructor(
        private readonly store: Store,
        server: InstanceServer,
        membership: Membership,
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
    }

    /** Number of shards that were used so far. */
    get count(): number {
        return this.#shards.size;
    }

    #findOrCreateShard(key: string): OnceShard {
        const index = shardOf(key);
        let shard = this.#shards.get(index);
        if (!shard) {
            shard = new OnceShard(this.store, `once/${index}`, { commitRateLimiter: this.#commitRateLimiter });
            this.#shards.set(index, shard);
        }
        return shard;
    }
}
