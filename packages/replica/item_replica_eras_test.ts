import { expect, test } from "vitest";
import type { ItemChange } from "./item_change.ts";
import { ItemReplica } from "./item_replica.ts";
import type { StoredItem } from "./stored_item.ts";

const RETENTION_MILLISECONDS = 5_000;
const OLDER_RETENTION_MILLISECONDS = 30_000;
const item = (key: string, value: string, era: number, revision: number): StoredItem => ({ key, value, era, revision });

/** A replica at revision 30 of era 1, and its changes since then as short texts. */
function createReplica(items: StoredItem[]) {
    const replica = new ItemReplica();
    replica.replace({ items, era: 1, revision: 30 }, 1_000);
    const changes: string[] = [];
    replica.onChange(change => changes.push(toText(change)));
    return { replica, changes };
}

function toText(change: ItemChange): string {
    return change.kind === "written" ? `${change.item.key}=${change.item.value}` : `${change.kind} ${change.key}`;
}

// Guards against a store whose changes are no longer read after it came back, as its revisions are below the replica's.
test("changes of a new era are taken although their revisions are lower", () => {
    const { replica, changes } = createReplica([item("a", "old", 1, 5), item("b", "same", 1, 20)]);
    replica.replace({
        items: [item("a", "new", 2, 22), item("b", "same", 2, 20)],
        era: 2,
        revision: 22,
    }, 2_000);
    replica.apply([{ kind: "written", item: item("b", "newer", 2, 23) }], { era: 2, revision: 23 }, 2_100);
    expect(changes).toEqual(["a=new", "b=newer"]);
    expect(replica.position).toEqual({ era: 2, revision: 23 });
    expect(replica.confirmedAt).toBe(2_100);
});

// Guards against other contents under the revision that the replica already has for the item.
test("an item with the same revision and other contents is replaced in a new era", () => {
    const { replica } = createReplica([item("a", "first", 1, 30), item("b", "same", 1, 20)]);
    replica.replace({ items: [item("a", "second", 2, 30), item("b", "same", 2, 20)], era: 2, revision: 30 }, 2_000);
    expect(replica.get("a")?.value).toBe("second");
});

// Guards against a late update of the era before that undoes what was read since.
test("updates, snapshots and confirmations of an earlier era have no effect", () => {
    const { replica, changes } = createReplica([item("a", "old", 1, 5)]);
    replica.replace({ items: [item("a", "new", 2, 22)], era: 2, revision: 22 }, 2_000);
    replica.apply([{ kind: "written", item: item("a", "late", 1, 31) }], { era: 1, revision: 31 }, 2_500);
    replica.replace({ items: [], era: 1, revision: 77 }, 2_500);
    replica.confirm({ era: 1, revision: 20 }, 2_500);
    expect(changes).toEqual(["a=new"]);
    expect(replica.confirmedAt).toBe(2_000);
});

// Guards against a return to an older state of an item, whether it was changed or removed in the seconds that are lost.
test("what is newer than the copy is kept until it is written again", () => {
    const { replica, changes } = createReplica([
        item("a", "old", 1, 5),
        item("b", "same", 1, 20),
        item("c", "c", 1, 6),
    ]);
    replica.apply(
        [
            { kind: "written", item: item("a", "new", 1, 31) },
            { kind: "removed", key: "c", era: 1, revision: 32 },
        ],
        { era: 1, revision: 32 },
        1_500,
    );
    changes.length = 0;
    const copy = [item("a", "old", 2, 5), item("b", "same", 2, 20), item("c", "c", 2, 6)];
    replica.replace({ items: copy, era: 2, revision: 20 }, 2_000);
    expect([replica.get("a")?.value, replica.get("c")]).toEqual(["new", undefined]);
    replica.replace({ items: copy, era: 2, revision: 20 }, 2_500);
    expect(changes).toEqual([]);
    replica.apply([{ kind: "written", item: item("c", "again", 2, 21) }], { era: 2, revision: 21 }, 2_600);
    expect(changes).toEqual(["c=again"]);
});

// Guards against items that are gone for good but are kept, since only the copy lacks them.
test("a missing item is kept for a time and removed unless it is written again", () => {
    const { replica, changes } = createReplica([item("a", "a", 1, 25), item("b", "b", 1, 26), item("c", "c", 1, 20)]);
    replica.replace({ items: [item("c", "c", 2, 20)], era: 2, revision: 20 }, 2_000);
    expect(changes).toEqual(["missing a", "missing b"]);
    expect(replica.get("a")).toBeDefined();
    replica.apply([{ kind: "written", item: item("b", "b", 2, 21) }], { era: 2, revision: 21 }, 2_500);
    replica.confirm({ era: 2, revision: 21 }, 2_000 + RETENTION_MILLISECONDS);
    expect(changes.slice(2)).toEqual(["b=b", "removed a"]);
});

// Guards against a state that is kept for ever although nobody writes it again.
test("a state that is newer than the copy yields to the copy's one after a time", () => {
    const { replica, changes } = createReplica([item("a", "old", 1, 5), item("b", "same", 1, 20)]);
    replica.apply([{ kind: "removed", key: "a", era: 1, revision: 31 }], { era: 1, revision: 31 }, 1_500);
    replica.replace({ items: [item("a", "old", 2, 5), item("b", "same", 2, 20)], era: 2, revision: 20 }, 2_000);
    replica.confirm({ era: 2, revision: 20 }, 2_000 + RETENTION_MILLISECONDS);
    expect(changes).toEqual(["removed a"]);
    replica.confirm({ era: 2, revision: 20 }, 2_000 + OLDER_RETENTION_MILLISECONDS);
    expect(changes).toEqual(["removed a", "a=old"]);
});

// Guards against a change that is hidden because another item was written again at the revision that it had before.
test("an item never seen is taken although one with a higher revision was seen before", () => {
    const { replica, changes } = createReplica([item("a", "old", 1, 5), item("b", "again", 1, 30)]);
    replica.replace({ items: [item("a", "new", 2, 29), item("b", "again", 2, 30)], era: 2, revision: 30 }, 2_000);
    expect(changes).toEqual(["a=new"]);
});

// Guards against an instance that was behind and brings back what others know to be removed.
test("what an instance that was behind keeps is not taken over", () => {
    const { replica, changes } = createReplica([item("a", "a", 1, 10), item("b", "same", 1, 20)]);
    const behind = new ItemReplica();
    behind.replace(replica.snapshot(), 1_000);
    replica.apply([{ kind: "removed", key: "a", era: 1, revision: 31 }], { era: 1, revision: 31 }, 1_500);
    const copy = { items: [item("b", "same", 2, 20)], era: 2, revision: 32 };
    replica.replace(copy, 2_000);
    behind.replace(copy, 3_000);
    replica.retain(behind.retained(), behind.position, 3_100);
    expect(behind.retained()).toHaveLength(1);
    expect(changes).toEqual(["removed a"]);
});

// Guards against the removal of a server that the first copy lacks and the second one has.
test("an item that is missing after one return and there after the next one is reported as written", () => {
    const { replica, changes } = createReplica([item("a", "a", 1, 25), item("b", "same", 1, 20)]);
    replica.replace({ items: [item("b", "same", 2, 20)], era: 2, revision: 20 }, 2_000);
    replica.replace({ items: [item("a", "a", 3, 25), item("b", "same", 3, 20)], era: 3, revision: 25 }, 3_000);
    expect(changes).toEqual(["missing a", "a=a"]);
});

// Guards against a second return, during the first one's recovery, that brings back what the first one did not.
test("what is kept after one return is kept after the next one", () => {
    const { replica, changes } = createReplica([item("a", "old", 1, 5), item("b", "same", 1, 20)]);
    replica.apply([{ kind: "written", item: item("a", "new", 1, 31) }], { era: 1, revision: 31 }, 1_500);
    const copy = [item("a", "old", 2, 5), item("b", "same", 2, 20)];
    replica.replace({ items: copy, era: 2, revision: 20 }, 2_000);
    replica.replace({ items: copy.map(copied => ({ ...copied, era: 3 })), era: 3, revision: 20 }, 4_000);
    expect(replica.get("a")?.value).toBe("new");
    replica.confirm({ era: 3, revision: 20 }, 3_000 + RETENTION_MILLISECONDS);
    expect(changes).toEqual(["a=new"]);
});

// Guards against an instance that was behind its peers and takes the copy's newer items for older ones.
test("an instance that is behind the copy takes the copy's items", () => {
    const { replica } = createReplica([item("a", "old", 1, 5), item("b", "same", 1, 20)]);
    replica.replace({
        items: [item("a", "new", 2, 35), item("b", "same", 2, 20), item("c", "c", 2, 33)],
        era: 2,
        revision: 35,
    }, 2_000);
    expect([replica.get("a")?.value, replica.get("c")?.value]).toEqual(["new", "c"]);
});

// Guards against an instance that starts after the return and knows nothing but the copy.
test("an instance that has only read the copy takes over what another one keeps", () => {
    const { replica } = createReplica([item("a", "old", 1, 5), item("b", "same", 1, 20), item("c", "c", 1, 6)]);
    replica.apply(
        [
            { kind: "written", item: item("a", "new", 1, 31) },
            { kind: "removed", key: "c", era: 1, revision: 32 },
        ],
        { era: 1, revision: 32 },
        1_500,
    );
    const copy = [item("a", "old", 2, 5), item("b", "same", 2, 20), item("c", "c", 2, 6)];
    replica.replace({ items: copy, era: 2, revision: 20 }, 2_000);
    const started = new ItemReplica();
    started.replace({ items: copy, era: 2, revision: 20 }, 2_200);
    const changes: string[] = [];
    started.onChange(change => changes.push(toText(change)));
    started.retain(replica.retained(), replica.position, 2_300);
    expect(changes).toEqual(["a=new", "removed c"]);
    // What was written since the return is newer than what others keep.
    const later = new ItemReplica();
    later.replace({ items: [item("a", "newest", 2, 22), item("b", "same", 2, 20)], era: 2, revision: 23 }, 2_200);
    later.retain(replica.retained(), replica.position, 2_300);
    expect(later.get("a")?.value).toBe("newest");
});
