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
    replica.replace({ items: [], ...at(5) }, 100);
    expect(replica.isRecovering(2_000)).toBe(true);
    replica.confirm(at(5), 1_500);
    replica.confirm(at(5), 3_000);
    expect(replica.isRecovering(4_900)).toBe(false);
    expect(replica.isRecovering(5_100)).toBe(true);
    replica.confirm(at(5), 5_200);
    expect(replica.isRecovering(7_000)).toBe(true);
    expect(replica.isRecovering(7_190)).toBe(true);
    replica.confirm(at(5), 7_000);
    expect(replica.isRecovering(7_600)).toBe(false);
});
