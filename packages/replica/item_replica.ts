import type { ItemChange } from "./item_change.ts";
import type { ItemSnapshot } from "./item_snapshot.ts";
import type { StoredItem } from "./stored_item.ts";

/** Time in milliseconds without a confirmation after which entries may have lapsed although their writers live. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time in milliseconds in which entries that lapsed during an outage are written again. */
const RECOVERY_MILLISECONDS = 2_300;

/**
 * Copy of the store's items, complete up to a revision that never falls.
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

    /** Revision of the store up to which the copy is complete; 0 before the first snapshot. */
    get revision(): number {
        return this.#revision;
    }

    /** Time before the read that last confirmed the copy, by the clock that the callers of this class use. */
    get confirmedAt(): number {
        return this.#confirmedAt;
    }

    /**
     * Tells whether the store is away or has come back a moment ago, so that entries may be missing that are renewed.
     *
     * @param now Present time, by the clock that the callers of this class use.
     * @returns Whether it is.
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
     * Returns the whole copy.
     *
     * @returns The items with the copy's revision.
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
     * Replaces the copy by a snapshot, unless the copy is newer.
     *
     * @param snapshot The snapshot.
     * @param readAt Time before the snapshot was asked for.
     */
    replace(snapshot: ItemSnapshot, readAt: number): void {
        if (snapshot.revision < this.#revision) {
            return;
        }
        const kept = new Set(snapshot.items.map(item => item.key));
        for (const item of snapshot.items) {
            this.#write(item);
        }
        for (const { key, revision } of [...this.#items.values()]) {
            if (!kept.has(key) && revision <= snapshot.revision) {
                this.#remove(key, snapshot.revision);
            }
        }
        this.#advance(snapshot.revision, readAt);
    }

    /**
     * Applies the changes after the copy's revision; older ones among them have no effect.
     *
     * @param changes The changes, in order.
     * @param revision Revision up to which they are complete.
     * @param readAt Time before they were asked for; undefined if that is not known, so that they confirm nothing.
     */
    apply(changes: ItemChange[], revision: number, readAt?: number): void {
        const known = this.#revision;
        for (const change of changes) {
            if (revisionOf(change) <= known) {
                continue;
            }
            if (change.kind === "written") {
                this.#write(change.item);
            }
            else {
                this.#remove(change.key, change.revision);
            }
        }
        this.#advance(revision, readAt);
    }

    /**
     * Notes that a copy of the same or an older revision was confirmed elsewhere.
     *
     * @param revision Revision of that copy.
     * @param confirmedAt Time before the read that confirmed it, by this instance's clock.
     */
    confirm(revision: number, confirmedAt: number): void {
        if (revision > 0 && revision <= this.#revision) {
            this.#noteConfirmed(confirmedAt);
        }
    }

    #advance(revision: number, readAt: number | undefined): void {
        if (revision >= this.#revision) {
            this.#revision = revision;
            this.#noteConfirmed(readAt ?? this.#confirmedAt);
        }
    }

    #noteConfirmed(confirmedAt: number): void {
        if (confirmedAt - this.#confirmedAt > OUTAGE_MILLISECONDS) {
            this.#outageEndedAt = confirmedAt;
        }
        this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
    }

    #write(item: StoredItem): void {
        const present = this.#items.get(item.key);
        if (present && present.revision >= item.revision) {
            return;
        }
        this.#items.set(item.key, item);
        this.#emit({ kind: "written", item });
    }

    #remove(key: string, revision: number): void {
        const present = this.#items.get(key);
        if (!present || present.revision > revision) {
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
