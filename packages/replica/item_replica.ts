import { emitDifference } from "./_emit_difference.ts";
import { isSameWrite } from "./_is_same_write.ts";
import { ListenerList } from "./_listener_list.ts";
import { mergeCopy } from "./_merge_copy.ts";
import { RetainedItems } from "./_retained_items.ts";
import { comparePositions } from "./compare_positions.ts";
import { ConfirmationTimes } from "./confirmation_times.ts";
import type { EraChange } from "./era_change.ts";
import type { ItemChange } from "./item_change.ts";
import { ItemHistory } from "./item_history.ts";
import type { ItemSnapshot } from "./item_snapshot.ts";
import { positionOf } from "./position_of.ts";
import type { RetainedItem } from "./retained_item.ts";
import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/** Time after entering an era in which another instance may know better. */
const ERA_START_MILLISECONDS = 5_000;

/**
 * Replica of the store's items, complete up to a position that never decreases. When the store comes back from an older
 * copy, what the replica knows and the copy lacks is kept until it is written again, for a limited time.
 *
 * @example
 * ```ts
 * const replica = new ItemReplica();
 * replica.onChange(change => console.log(change.kind));
 * replica.replace({ items: [{ key: "a", value: "1", era: 1, revision: 4 }], era: 1, revision: 4 }, performance.now());
 * replica.position; // { era: 1, revision: 4 }
 * ```
 */
export class ItemReplica {
    /** When the store was read, on the clock of the caller: tells whether items may be missing after an outage. */
    readonly times = new ConfirmationTimes();
    /** Items that were replaced or removed, by which those of an older copy are recognised. */
    readonly history = new ItemHistory();
    #stored = new Map<string, StoredItem>();
    readonly #retained = new RetainedItems();
    readonly #listeners = new ListenerList<ItemChange>();
    readonly #eraListeners = new ListenerList<EraChange>();
    readonly #fillListeners = new ListenerList<StorePosition>();
    #position: StorePosition = { era: 0, revision: 0 };
    /** Position at which the replica left the era before; its knowledge was complete up to there. */
    #leftAt: StorePosition = { era: 0, revision: 0 };
    #eraEnteredAt = Number.NEGATIVE_INFINITY;

    /** Position of the store up to which the replica is complete. */
    get position(): StorePosition {
        return this.#position;
    }

    /** Whether there has been a snapshot. */
    get isFilled(): boolean {
        return this.#position.revision > 0;
    }

    /** Start of the read that last confirmed the replica, in milliseconds on the caller's clock. */
    get confirmedAt(): number {
        return this.times.confirmedAt;
    }

    /** Start of the read with which the replica entered the present era, in milliseconds on the caller's clock. */
    get eraEnteredAt(): number {
        return this.#eraEnteredAt;
    }

    /**
     * Registers a function that is called for each change.
     *
     * @param listener The function.
     */
    onChange(listener: (change: ItemChange) => void): void {
        this.#listeners.add(listener);
    }

    /**
     * Registers a function that is called when the replica has followed the store into another era.
     *
     * @param listener The function.
     */
    onEraChange(listener: (change: EraChange) => void): void {
        this.#eraListeners.add(listener);
    }

    /**
     * Registers a function that is called when the replica has taken its first snapshot.
     *
     * @param listener The function.
     */
    onFill(listener: (position: StorePosition) => void): void {
        this.#fillListeners.add(listener);
    }

    /**
     * Returns what the store has at the replica's position.
     *
     * @returns The items, without the retained states.
     */
    snapshot(): ItemSnapshot {
        return { items: [...this.#stored.values()], ...this.#position };
    }

    /**
     * Returns the states that are kept although the store does not have them in its present era.
     *
     * @returns The states.
     */
    retained(): RetainedItem[] {
        return this.#retained.all();
    }

    /**
     * Reads one item as the store has it, without regard to what is retained.
     *
     * @param key Its key.
     * @returns The item, or undefined.
     */
    getStored(key: string): StoredItem | undefined {
        return this.#stored.get(key);
    }

    /**
     * Reads one item.
     *
     * @param key Its key.
     * @returns The item, or undefined.
     */
    get(key: string): StoredItem | undefined {
        const state = this.#retained.get(key);
        return state ? state.item : this.#stored.get(key);
    }

    /**
     * Replaces the replica's items by a snapshot, unless the replica is newer.
     *
     * @param snapshot The snapshot.
     * @param readAt Time before the snapshot was requested.
     */
    replace(snapshot: ItemSnapshot, readAt: number): void {
        if (comparePositions(snapshot, this.#position) < 0) {
            return;
        }
        const isFirst = !this.isFilled;
        if (!isFirst && snapshot.era !== this.#position.era) {
            this.#enterEra(snapshot, readAt);
        }
        else {
            this.#eraEnteredAt = isFirst ? readAt : this.#eraEnteredAt;
            // Listeners ask whether the removals of the snapshot follow an outage.
            this.times.record(readAt);
            const snapshotKeys = new Set(snapshot.items.map(item => item.key));
            for (const item of snapshot.items) {
                this.#writeItem(item);
            }
            for (const key of [...this.#stored.keys()].filter(key => !snapshotKeys.has(key))) {
                this.#removeItem(key, snapshot);
            }
        }
        this.#advance(snapshot, readAt);
        if (isFirst && this.isFilled) {
            this.#fillListeners.emit(this.#position);
        }
    }

    /**
     * Applies the changes after the replica's position; older ones and those of another era have no effect.
     *
     * @param changes The changes, in order.
     * @param position Position up to which they are complete.
     * @param readAt Time before they were requested; undefined if unknown, so that they do not confirm the replica.
     */
    apply(changes: ItemChange[], position: StorePosition, readAt?: number): void {
        if (position.era !== this.#position.era) {
            return;
        }
        for (const change of changes) {
            const { revision } = change.kind === "written" ? change.item : change;
            if (revision <= this.#position.revision) {
                continue;
            }
            if (change.kind === "written") {
                this.#writeItem(change.item);
                continue;
            }
            this.#removeItem(change.key, change);
        }
        this.#advance(position, readAt);
    }

    /**
     * Records that a replica of the same or an older position of the era was confirmed on another instance.
     *
     * @param position Position of that replica.
     * @param confirmedAt Start of the read that confirmed it, on this instance's clock.
     */
    confirm(position: StorePosition, confirmedAt: number): void {
        const { era, revision } = position;
        if (revision > 0 && era === this.#position.era && revision <= this.#position.revision) {
            this.#recordConfirmation(confirmedAt);
        }
    }

    /**
     * Takes over the states that another instance retains, where they are newer than what this replica knows.
     *
     * @param states The states.
     * @param position Position of that instance's replica; without effect if it is behind this replica.
     * @param now Current time in milliseconds.
     */
    retain(states: RetainedItem[], position: StorePosition, now: number): void {
        const isBehind = position.era !== this.#position.era || comparePositions(position, this.#position) < 0;
        if (isBehind || now - this.#eraEnteredAt >= ERA_START_MILLISECONDS) {
            return;
        }
        for (const state of states) {
            const known = this.get(state.key);
            const storedRevision = this.#stored.get(state.key)?.revision ?? 0;
            if (
                comparePositions(state, this.#leftAt) < 0 || storedRevision !== state.copiedRevision
                || !this.#retained.add(state)
            ) {
                continue;
            }
            emitDifference(this.#listeners, { key: state.key, known, item: this.get(state.key), position: state });
        }
    }

    /** Follows the store into another era, with a snapshot of a copy that may be older than the replica. */
    #enterEra(snapshot: ItemSnapshot, readAt: number): void {
        const from = this.#position;
        this.#leftAt = from;
        const retainedKeys = this.#retained.all().map(({ key }) => key);
        const { retained, changes } = mergeCopy(snapshot, {
            position: from,
            keys: [...this.#stored.keys(), ...retainedKeys],
            get: key => this.get(key),
            hasStored: key => this.#stored.has(key),
            hasSeen: item => isSameWrite(this.#stored.get(item.key), item) || this.history.includes(item),
        }, readAt);
        const former = this.#stored;
        this.#stored = new Map(snapshot.items.map(item => [item.key, item]));
        [...former.values()].filter(item => !isSameWrite(item, this.#stored.get(item.key)))
            .forEach(item => this.history.add(item));
        this.#retained.clear();
        retained.forEach(state => this.#retained.add(state));
        this.#position = positionOf(snapshot);
        this.#eraEnteredAt = readAt;
        this.times.endOutage(readAt);
        this.#eraListeners.emit({ from, to: this.#position, retained: retained.length });
        changes.forEach(change => this.#listeners.emit(change));
    }

    #advance(position: StorePosition, readAt: number | undefined): void {
        if (comparePositions(position, this.#position) >= 0) {
            this.#position = positionOf(position);
            this.#recordConfirmation(readAt ?? this.confirmedAt);
        }
    }

    #recordConfirmation(confirmedAt: number): void {
        this.times.record(confirmedAt);
        for (const key of this.#retained.expired(this.confirmedAt)) {
            const known = this.get(key);
            this.#retained.delete(key);
            emitDifference(this.#listeners, { key, known, item: this.get(key), position: this.#position });
        }
    }

    #writeItem(item: StoredItem): void {
        const current = this.#stored.get(item.key);
        if (current && comparePositions(current, item) >= 0) {
            return;
        }
        if (current) {
            this.history.add(current);
        }
        this.#stored.set(item.key, item);
        this.#retained.delete(item.key);
        this.#listeners.emit({ kind: "written", item });
    }

    #removeItem(key: string, position: StorePosition): void {
        const current = this.#stored.get(key);
        if (!current || comparePositions(current, position) > 0) {
            return;
        }
        const known = this.get(key);
        this.history.add(current);
        this.#stored.delete(key);
        this.#retained.delete(key);
        if (known) {
            this.#listeners.emit({ kind: "removed", key, ...positionOf(position) });
        }
    }
}
