import { isSameWrite } from "./_is_same_write.ts";
import type { ItemChange } from "./item_change.ts";
import type { ItemSnapshot } from "./item_snapshot.ts";
import { positionOf } from "./position_of.ts";
import type { RetainedItem } from "./retained_item.ts";
import type { StorePosition } from "./store_position.ts";
import type { StoredItem } from "./stored_item.ts";

/** What a replica knows when the store comes back from an older copy. */
interface ReplicaState {
    position: StorePosition;
    /** Keys of all items and retained states. */
    keys: Iterable<string>;
    get(key: string): StoredItem | undefined;
    /** Whether the store had exactly this item at some time. */
    hasSeen(item: StoredItem): boolean;
}

/** Result of {@linkcode mergeCopy}. */
interface MergedCopy {
    /** Highest revision known to come from the copy; changes after it belong to the new era. */
    copiedRevision: number;
    /** States that are newer than the copy. */
    retained: RetainedItem[];
    /** Changes of the new era, and items that the copy lacks. */
    changes: ItemChange[];
}

/**
 * Compares the first snapshot of a new era with what a replica knows. Items of the copy are older than the replica;
 * those written after the store came back are newer.
 *
 * @param snapshot The snapshot.
 * @param replica The replica's state before.
 * @param until Time until which states are kept that the copy lacks, or whose items in the copy were never seen.
 * @returns What is kept and what changes.
 */
export function mergeCopy(snapshot: ItemSnapshot, replica: ReplicaState, until: number): MergedCopy {
    const copiedRevision = findCopiedRevision(snapshot, replica);
    const items = new Map(snapshot.items.map(item => [item.key, item]));
    const merged: MergedCopy = { copiedRevision, retained: [], changes: [] };
    for (const key of new Set([...replica.keys, ...items.keys()])) {
        const known = replica.get(key);
        const item = items.get(key);
        if (isSameWrite(known, item)) {
            continue;
        }
        if (item && item.revision > copiedRevision) {
            merged.changes.push({ kind: "written", item });
            continue;
        }
        merged.retained.push({
            key,
            item: known,
            copiedRevision: item?.revision ?? 0,
            ...positionOf(known ?? replica.position),
            // What was seen before is older beyond doubt. The rest is inferred, or may be gone for good.
            until: item && replica.hasSeen(item) ? undefined : until,
        });
        if (!item) {
            merged.changes.push({ kind: "missing", key, ...positionOf(snapshot) });
        }
    }
    return merged;
}

/** Returns the highest revision, at most the replica's own, of an item that the store had before it came back. */
function findCopiedRevision({ items }: ItemSnapshot, { position, hasSeen }: ReplicaState): number {
    let copiedRevision = 0;
    for (const item of items) {
        if (item.revision > copiedRevision && item.revision <= position.revision && hasSeen(item)) {
            copiedRevision = item.revision;
        }
    }
    return copiedRevision;
}
