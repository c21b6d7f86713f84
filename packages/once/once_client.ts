import type * as z from "zod";
import { sleep } from "../clocks/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { BeginResult } from "./begin_result.ts";
import { onceParameters } from "./once_parameters.ts";
import { shardOf } from "./shard_of.ts";

const BEGIN_TIMEOUT_MILLISECONDS = 3_000;
const HOMES_TRIED = 2;
const FINISH_PAUSE_MILLISECONDS = 500;
const FINISH_ATTEMPTS = 10_000;
const MAXIMUM_UNFINISHED = 10_000;

/**
 * Records once-only calls at the homes of their shards.
 *
 * @example
 * ```ts
 * const client = new OnceClient(membership, pool, logger);
 * const answer = await client.begin({ key, attempt, fingerprint, owner });
 * await client.finish({ key, attempt, state: "finished", answer: kept });
 * ```
 */
export class OnceClient {
    #unfinished = 0;
    readonly #closed = new AbortController();

    /**
     * @param membership Says which instance is the home of a shard.
     * @param pool Calls the homes.
     * @param logger Receives outcomes that could not be recorded.
     */
    constructor(
        private readonly membership: Membership,
        private readonly pool: InstancePool,
        private readonly logger: Logger,
    ) {}

    /** Outcomes that wait for the store. */
    get unrecordedOutcomes(): number {
        return this.#unfinished;
    }

    /**
     * Records the intent to send a call.
     *
     * @param params The call.
     * @returns The answer; if it is not `"begun"`, the call must not be sent.
     */
    async begin(params: z.infer<typeof onceParameters.begin>): Promise<BeginResult> {
        const group = `once/${shardOf(params.key)}`;
        for (let index = 0; index < HOMES_TRIED; index++) {
            const home = this.membership.homeOf({ group, index });
            const answer = await this.pool.call<BeginResult>(home, "once.begin", params, BEGIN_TIMEOUT_MILLISECONDS);
            if (answer.isOk()) {
                return answer.value;
            }
        }
        return { kind: "unavailable" };
    }

    /**
     * Records how a call ended, again and again until the store has it.
     *
     * @param params The outcome.
     * @returns A promise that resolves once it is recorded or given up.
     */
    async finish(params: z.infer<typeof onceParameters.finish>): Promise<void> {
        if (this.#unfinished >= MAXIMUM_UNFINISHED) {
            this.logger.warn("outcome of a once-only call is not recorded", { attempt: params.attempt });
            return;
        }
        this.#unfinished++;
        for (let attempt = 0; attempt < FINISH_ATTEMPTS && !this.#closed.signal.aborted; attempt++) {
            if (await this.#finishOnce(params, attempt % HOMES_TRIED)) {
                break;
            }
            await sleep(FINISH_PAUSE_MILLISECONDS * (0.5 + Math.random()), this.#closed.signal);
        }
        this.#unfinished--;
    }

    /** Gives up outcomes that wait for the store. */
    close(): void {
        this.#closed.abort();
    }

    async #finishOnce(params: z.infer<typeof onceParameters.finish>, index: number): Promise<boolean> {
        const home = this.membership.homeOf({ group: `once/${shardOf(params.key)}`, index });
        const answer = await this.pool.call<{ stored: boolean; }>(
            home,
            "once.finish",
            params,
            BEGIN_TIMEOUT_MILLISECONDS,
        );
        return answer.isOk() && answer.value.stored;
    }
}
