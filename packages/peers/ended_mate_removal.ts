import { PeriodicTask } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { type ItemReplica, positionOf } from "../replica/mod.ts";
import type { MemberList } from "./member_list.ts";

/** Pause in milliseconds between two searches. */
const PERIOD_MILLISECONDS = 1_000;
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies of {@linkcode EndedMateRemoval}. */
interface EndedMateRemovalOptions {
    keyPrefix: string;
    members: MemberList;
    pool: InstancePool;
    store: CoordinationStore;
    replica: ItemReplica;
    logger: Logger;
    /** Whether this instance acts for its cell and reaches the store. */
    isResponsible(): boolean;
}

/**
 * Removes the registrations of members of the cell that have ended; their leases would keep them for longer. A member
 * that still runs notices the removal and registers again.
 *
 * @example
 * ```ts
 * const removal = new EndedMateRemoval(options);
 * await removal.close();
 * ```
 */
export class EndedMateRemoval {
    readonly #task: PeriodicTask;

    /**
     * @param options Dependencies of the removal.
     */
    constructor(private readonly options: EndedMateRemovalOptions) {
        this.#task = new PeriodicTask(PERIOD_MILLISECONDS, () => this.#step(), error => {
            options.logger.error("removal of ended instances failed", { error: String(error) });
        });
    }

    /**
     * Stops the removal.
     *
     * @returns A promise that resolves once the current search has ended.
     */
    async close(): Promise<void> {
        await this.#task.close();
    }

    async #step(): Promise<void> {
        const { keyPrefix, members, pool, store, replica, logger, isResponsible } = this.options;
        if (!isResponsible()) {
            return;
        }
        for (const peer of members.silentMates()) {
            const key = keyPrefix + peer.name;
            const item = replica.getStored(key);
            const response = await pool.call(peer, "peers.probe", {}, PROBE_TIMEOUT_MILLISECONDS);
            if (response.isOk() || item === undefined) {
                continue;
            }
            const removed = await store.remove(key, positionOf(item));
            logger.info("registration of a silent instance removed", {
                peer: peer.name,
                incarnation: peer.incarnation,
                cause: response.error.message,
                outcome: removed.isOk() ? removed.value.kind : removed.error.message,
            });
        }
    }
}
