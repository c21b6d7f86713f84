import type { ItemChange } from "./item_change.ts";
import type { ItemSnapshot } from "./item_snapshot.ts";
import type { StoredItem } from "./stored_item.ts";

/** Time without a confirmation after which leased items may have expired although their owners still run. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time after an outage within which the owners of expired items write them again. */
const RECOVERY_MILLISECONDS = 2_300;

/**
 * Replica of the store's items, complete up to a revision that never decreases.
 *
 * @example
 * ```ts
 * const replica = new ItemReplica();
 * replica.onChange(change => console.log(change.kind));
 * replica.replace({ items: [{ key: "a", value: "1", revision: 4 }], revision: 4 }, performance.now());
 * replica.revision; // 4
 * ```
 */
export class ItemReplica {
    readonly #items = new Map<string, StoredItem>();
    readonly #listeners: ((change: ItemChange) => void)[] = [];
    #revision = 0;
    #confirmedAt = Number.NEGATIVE_INFINITY;
    #outageEndedAt = Number.NEGATIVE_INFINITY;

    /** Revision of the store up to which the replica is complete; 0 before the first snapshot. */
    get revision(): number {
        return this.#revision;
    }

    /** Start of the read that last confirmed the replica, in milliseconds on the caller's clock. */
    get confirmedAt(): number {
        return this.#confirmedAt;
    }

    /**
     * Returns whether the store is unreachable or was so until recently, so that items may be missing although their
     * owners still run.
     *
     * @param now Current time in milliseconds, on the clock of {@linkcode ItemReplica.confirmedAt}.
     * @returns Whether it is or was.
     */
    isRecovering(now: number): boolean {
        return now - this.#confirmedAt > OUTAGE_MILLISECONDS || now - this.#outageEndedAt < RECOVERY_MILLISECONDS;
    }

    /**
     * Registers a function that is called for each change.
     *
     * @param listener The function.
     */
    onChange(listener: (change: ItemChange) => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Returns all items.
     *
     * @returns The items with the replica's revision.
     */
    snapshot(): ItemSnapshot {
        return { items: [...this.#items.values()], revision: this.#revision };
    }

    /**
     * Reads one item.
     *
     * @param key Its key.
     * @returns The item, or undefined.
     */
    get(key: string): StoredItem | undefined {
        return this.#items.get(key);
    }

    /**
     * Replaces the replica's items by a snapshot, unless the replica is newer.
     *
     * @param snapshot The snapshot.
     * @param readAt Time before the snapshot was requested.
     */
    replace(snapshot: ItemSnapshot, readAt: number): void {
        if (snapshot.revision < this.#revision) {
            return;
        }
        const snapshotKeys = new Set(snapshot.items.map(item => item.key));
        for (const item of snapshot.items) {
            this.#writeItem(item);
        }
        for (const { key, revision } of [...this.#items.values()]) {
            if (!snapshotKeys.has(key) && revision <= snapshot.revision) {
                this.#removeItem(key, snapshot.revision);
            }
        }
        this.#advance(snapshot.revision, readAt);
    }

    /**
     * Applies the changes after the replica's revision; older ones have no effect.
     *
     * @param changes The changes, in order.
     * @param revision Revision up to which they are complete.
     * @param readAt Time before they were requested; undefined if unknown, so that they do not confirm the replica.
     */
    apply(changes: ItemChange[], revision: number, readAt?: number): void {
        const knownRevision = this.#revision;
        for (const change of changes) {
            if (revisionOf(change) <= knownRevision) {
                continue;
            }
            if (change.kind === "written") {
                this.#writeItem(change.item);
            }
            else {
                this.#removeItem(change.key, change.revision);
            }
        }
        this.#advance(revision, readAt);
    }

    /**
     * Records that a replica of the same or an older revision was confirmed on another instance.
     *
     * @param revision Revision of that replica.
     * @param confirmedAt Start of the read that confirmed it, on this instance's clock.
     */
    confirm(revision: number, confirmedAt: number): void {
        if (revision > 0 && revision <= this.#revision) {
            this.#recordConfirmation(confirmedAt);
        }
    }

    #advance(revision: number, readAt: number | undefined): void {
        if (revision >= this.#revision) {
            this.#revision = revision;
            this.#recordConfirmation(readAt ?? this.#confirmedAt);
        }
    }

    #recordConfirmation(confirmedAt: number): void {
        if (confirmedAt - this.#confirmedAt > OUTAGE_MILLISECONDS) {
            this.#outageEndedAt = confirmedAt;
        }
        this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }

    #writeItem(item: StoredItem): void {
        const current = this.#items.get(item.key);
        if (current && current.revision >= item.revision) {
            return;
        }
        this.#items.set(item.key, item);
        this.#emit({ kind: "written", item });
    }

    #removeItem(key: string, revision: number): void {
        const current = this.#items.get(key);
        if (!current || current.revision > revision) {
            return;
        }
        this.#items.delete(key);
        this.#emit({ kind: "removed", key, revision });
    }

    #emit(change: ItemChange): void {
        for (const listener of this.#listeners) {
            listener(change);
        }
    }
}

function revisionOf(change: ItemChange): number {
    return change.kind === "written" ? change.item.revision : change.revision;
}
