import type * as z from "zod";
import { sleep } from "../clocks/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { BeginResult } from "./begin_result.ts";
import { onceParameters } from "./once_parameters.ts";
import { shardOf } from "./shard_of.ts";

const CALL_TIMEOUT_MILLISECONDS = 3_000;
const HOMES_TRIED = 2;
const FINISH_RETRY_PAUSE_MILLISECONDS = 500;
const MAXIMUM_FINISH_ATTEMPTS = 10_000;
const MAXIMUM_UNRECORDED = 10_000;

/**
 * Records once-only calls at the homes of their shards.
 *
 * @example
 * ```ts
 * const client = new OnceClient(membership, pool, logger);
 * const result = await client.begin({ key, attempt, fingerprint, owner });
 * await client.finish({ key, attempt, state: "finished", answer: response });
 * ```
 */
export class OnceClient {
    #unrecorded = 0;
    readonly #closed = new AbortController();

    /**
     * @param membership Determines the home of a shard.
     * @param pool Connections to the homes.
     * @param logger Logs outcomes that are not recorded.
     */
    constructor(
        private readonly membership: Membership,
        private readonly pool: InstancePool,
        private readonly logger: Logger,
    ) {}

    /** Number of outcomes that are not recorded in the store yet. */
    get unrecordedOutcomes(): number {
        return this.#unrecorded;
    }

    /**
     * Records the intent to send a call.
     *
     * @param params The call.
     * @returns The result; unless it is `"begun"`, the call must not be sent.
     */
    async begin(params: z.infer<typeof onceParameters.begin>): Promise<BeginResult> {
        const group = `once/${shardOf(params.key)}`;
        for (let index = 0; index < HOMES_TRIED; index++) {
            const home = this.membership.homeOf({ group, index });
            const response = await this.pool.call<BeginResult>(home, "once.begin", params, CALL_TIMEOUT_MILLISECONDS);
            if (response.isOk()) {
                return response.value;
            }
        }
        return { kind: "unavailable" };
    }

    /**
     * Records the outcome of a call; retries until the store has it.
     *
     * @param params The outcome.
     * @returns A promise that resolves once the outcome is recorded or abandoned.
     */
    async finish(params: z.infer<typeof onceParameters.finish>): Promise<void> {
        if (this.#unrecorded >= MAXIMUM_UNRECORDED) {
            this.logger.warn("outcome of a once-only call is not recorded: too many outcomes are pending", {
                attempt: params.attempt,
            });
            return;
        }
        this.#unrecorded++;
        for (let attempt = 0; attempt < MAXIMUM_FINISH_ATTEMPTS && !this.#closed.signal.aborted; attempt++) {
            if (await this.#tryFinish(params, attempt % HOMES_TRIED)) {
                break;
            }
            await sleep(FINISH_RETRY_PAUSE_MILLISECONDS * (0.5 + Math.random()), this.#closed.signal);
        }
        this.#unrecorded--;
    }

    /** Abandons the outcomes that are not recorded yet. */
    close(): void {
        this.#closed.abort();
    }

    async #tryFinish(params: z.infer<typeof onceParameters.finish>, index: number): Promise<boolean> {
        const home = this.membership.homeOf({ group: `once/${shardOf(params.key)}`, index });
        const response = await this.pool.call<{ stored: boolean; }>(
            home,
            "once.finish",
            params,
            CALL_TIMEOUT_MILLISECONDS,
        );
        return response.isOk() && response.value.stored;
    }
}
