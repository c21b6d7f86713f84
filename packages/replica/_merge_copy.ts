import { isSameWrite } from "./_is_same_write.ts";
import type { ItemChange } from "./item_change.ts";
import type { ItemSnapshot } from "./item_snapshot.ts";
import { positionOf } from "./position_of.ts";
import type { RetainedItem } from "./retained_item.ts";
import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/** Time within which whoever wrote what the copy lacks writes it again. */
const MISSING_RETENTION_MILLISECONDS = 5_000;
/**
 * Time within which what the copy has again is written or removed once more: longer than the store needs to remove a
 * server that has ended, and bounded, since a revision and value can be those of another write.
 */
const OLDER_RETENTION_MILLISECONDS = 30_000;

/** What a replica knows when the store comes back from an older copy. */
interface ReplicaState {
    position: StorePosition;
    /** Keys of all items and retained states. */
    keys: Iterable<string>;
    get(key: string): StoredItem | undefined;
    /** Whether the store had an item with the key. */
    hasStored(key: string): boolean;
    /** Whether the store had exactly this item at some time. */
    hasSeen(item: StoredItem): boolean;
}

/** Result of {@linkcode mergeCopy}. */
interface MergedCopy {
    /** States that are newer than the copy. */
    retained: RetainedItem[];
    /** Changes of the new era, and items that the copy lacks. */
    changes: ItemChange[];
}

/**
 * Compares the first snapshot of a new era with what a replica knows. Items that the replica has seen before come from
 * the copy and are older; others count as written since the store came back.
 *
 * @param snapshot The snapshot.
 * @param replica The replica's state before.
 * @param readAt Time before the snapshot was requested.
 * @returns What is kept and what changes.
 */
export function mergeCopy(snapshot: ItemSnapshot, replica: ReplicaState, readAt: number): MergedCopy {
    const items = new Map(snapshot.items.map(item => [item.key, item]));
    const merged: MergedCopy = { retained: [], changes: [] };
    const retain = (key: string, known: StoredItem | undefined, copiedRevision: number, milliseconds: number) =>
        merged.retained.push({
            key,
            item: known,
            copiedRevision,
            ...positionOf(known ?? replica.position),
            until: readAt + milliseconds,
        });
    for (const key of new Set([...replica.keys, ...items.keys()])) {
        const known = replica.get(key);
        const item = items.get(key);
        if (!item) {
            if (known) {
                retain(key, known, 0, MISSING_RETENTION_MILLISECONDS);
                merged.changes.push({ kind: "missing", key, ...positionOf(snapshot) });
            }
        }
        else if (isSameWrite(known, item)) {
            // An item that was missing in the era before is no longer.
            merged.changes.push(...replica.hasStored(key) ? [] : [{ kind: "written" as const, item }]);
        }
        else if (replica.hasSeen(item)) {
            retain(key, known, item.revision, OLDER_RETENTION_MILLISECONDS);
        }
        else {
            merged.changes.push({ kind: "written", item });
        }
    }
    return merged;
}
