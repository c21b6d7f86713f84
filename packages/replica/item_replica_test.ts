import { expect, test } from "vitest";
import type { ItemChange } from "./item_change.ts";
import { ItemReplica } from "./item_replica.ts";

function createRecordedReplica() {
    const replica = new ItemReplica();
    const changes: ItemChange[] = [];
    replica.onChange(change => changes.push(change));
    return { replica, changes };
}

const item = (key: string, revision: number, era = 1) => ({ key, value: `${revision}`, era, revision });
const at = (revision: number) => ({ era: 1, revision });

test("a snapshot reports the items written and removed since the previous one", () => {
    const { replica, changes } = createRecordedReplica();
    replica.replace({ items: [item("a", 3), item("b", 4)], ...at(5) }, 100);
    replica.replace({ items: [item("a", 3), item("c", 7)], ...at(8) }, 200);
    expect(changes.map(change => change.kind === "written" ? change.item.key : `-${change.key}`))
        .toEqual(["a", "b", "c", "-b"]);
    expect(replica.position).toEqual(at(8));
    expect(replica.confirmedAt).toBe(200);
});

test("an older snapshot from a lagging peer has no effect", () => {
    const { replica, changes } = createRecordedReplica();
    replica.replace({ items: [item("a", 9)], ...at(9) }, 100);
    replica.replace({ items: [], ...at(6) }, 300);
    expect(replica.get("a")).toBeDefined();
    expect(replica.confirmedAt).toBe(100);
    expect(changes).toHaveLength(1);
});

test("a change that a snapshot included is not reported again, nor is the removal of an unknown item", () => {
    const { replica, changes } = createRecordedReplica();
    replica.replace({ items: [item("a", 6)], ...at(5) }, 100);
    replica.apply([{ kind: "written", item: item("a", 6) }, { kind: "removed", key: "x", ...at(6) }], at(6), 150);
    expect(changes).toHaveLength(1);
});

test("a confirmation from another instance counts only if its replica is not newer", () => {
    const { replica } = createRecordedReplica();
    replica.replace({ items: [], ...at(5) }, 100);
    replica.confirm(at(6), 400);
    expect(replica.confirmedAt).toBe(100);
    replica.confirm(at(5), 300);
    expect(replica.confirmedAt).toBe(300);
    replica.confirm(at(4), 200);
    expect(replica.confirmedAt).toBe(300);
});

test("late changes out of order do not restore an item that was removed since", () => {
    const { replica, changes } = createRecordedReplica();
    replica.replace({ items: [], ...at(5) }, 100);
    const written: ItemChange = { kind: "written", item: item("a", 6) };
    const removed: ItemChange = { kind: "removed", key: "a", ...at(7) };
    replica.apply([written, removed], at(7), 150);
    replica.apply([written], at(6));
    expect(replica.get("a")).toBeUndefined();
    expect(replica.position).toEqual(at(7));
    expect(changes).toHaveLength(2);
});

test("changes without a read time do not confirm the replica", () => {
    const { replica } = createRecordedReplica();
    replica.replace({ items: [], ...at(5) }, 100);
    replica.apply([{ kind: "written", item: item("a", 6) }], at(6));
    expect(replica.get("a")).toBeDefined();
    expect(replica.confirmedAt).toBe(100);
});

test("a replica is recovering during a store outage and for a short time after it", () => {
    const { replica } = createRecordedReplica();
    replica.times.recordFailure(50);
    replica.replace({ items: [], ...at(5) }, 100);
    expect(replica.times.isRecovering(2_000)).toBe(true);
    replica.confirm(at(5), 1_500);
    replica.confirm(at(5), 3_000);
    expect(replica.times.isRecovering(4_900)).toBe(false);
    replica.times.recordFailure(3_100);
    expect(replica.times.isRecovering(4_900)).toBe(false);
    expect(replica.times.isRecovering(5_100)).toBe(true);
    expect(replica.times.recoveredFrom(5_100)).toBe(7_400);
    replica.confirm(at(5), 5_200);
    expect(replica.times.isRecovering(7_000)).toBe(true);
    expect(replica.times.isRecovering(7_190)).toBe(true);
    expect(replica.times.recoveredFrom(7_190)).toBe(7_500);
    replica.confirm(at(5), 7_000);
    expect(replica.times.isRecovering(7_600)).toBe(false);
});

// Guards against servers that are used after their removal since a start, or a time without readers, counts as an outage.
test("a replica is not recovering after its first read or a time in which nobody has read the store", () => {
    const { replica } = createRecordedReplica();
    replica.replace({ items: [], ...at(5) }, 100);
    expect(replica.times.isRecovering(200)).toBe(false);
    expect(replica.times.isRecovering(5_000)).toBe(false);
    replica.confirm(at(5), 5_000);
    expect(replica.times.isRecovering(5_100)).toBe(false);
    expect(replica.times.recoveredFrom(5_100)).toBeLessThan(5_100);
});

// Guards against servers that are out of use since the snapshot after an outage lacks entries that expired in it.
test("a replica is recovering already while it emits the removals of the first snapshot after an outage", () => {
    const { replica } = createRecordedReplica();
    replica.replace({ items: [item("a", 5)], ...at(5) }, 100);
    const recovering: boolean[] = [];
    replica.onChange(() => recovering.push(replica.times.isRecovering(4_010)));
    replica.times.recordFailure(1_000);
    replica.replace({ items: [], ...at(6) }, 4_000);
    expect(recovering).toEqual([true]);
    expect(replica.times.recoveredFrom(4_010)).toBe(6_300);
});
