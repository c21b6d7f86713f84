import type { InstanceServer } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Store } from "../store/mod.ts";
import { CommitRateLimiter } from "./commit_rate_limiter.ts";
import { onceParameters } from "./once_parameters.ts";
import { OnceShard } from "./once_shard.ts";
import { shardOf } from "./shard_of.ts";

/**
 * The shards that other instances reach through this one.
 *
 * Unlike other homes, this one needs no handover: the store's compare-and-swap stops a former home.
 *
 * @example
 * ```ts
 * const state = new OnceState(store, server, membership);
 * state.count; // 0
 * ```
 */
export class HomedOnceShards {
    readonly #budget: CommitRateLimiter;
    readonly #shards = new Map<number, OnceShard>();

    /**
     * @param store The store.
     * @param server Answers other instances.
     * @param membership Says how many instances share the store.
     */
    constructor(
        private readonly store: Store,
        server: InstanceServer,
        membership: Membership,
    ) {
        this.#budget = new CommitRateLimiter(() => membership.record.members.length);
        server.handle("once.begin", onceParameters.begin, async params => await this.#shard(params.key).begin(params));
        server.handle("once.finish", onceParameters.finish, async params => {
            return { stored: await this.#shard(params.key).finish(params) };
        });
    }

    /** Number of shards used so far. */
    get count(): number {
        return this.#shards.size;
    }

    #shard(key: string): OnceShard {
        const number = shardOf(key);
        let shard = this.#shards.get(number);
        if (!shard) {
            shard = new OnceShard(this.store, `once/${number}`, { commitRateLimiter: this.#budget });
            this.#shards.set(number, shard);
        }
        return shard;
    }
}
