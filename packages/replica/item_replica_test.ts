import { expect, test } from "vitest";
import type { ItemChange } from "./item_change.ts";
import { ItemReplica } from "./item_replica.ts";

function replicaWithLog() {
    const replica = new ItemReplica();
    const changes: ItemChange[] = [];
    replica.onChange(change => changes.push(change));
    return { replica, changes };
}

const item = (key: string, revision: number) => ({ key, value: `${revision}`, revision });

test("a snapshot tells what was written and what was removed since", () => {
    const { replica, changes } = replicaWithLog();
    replica.replace({ items: [item("a", 3), item("b", 4)], revision: 5 }, 100);
    replica.replace({ items: [item("a", 3), item("c", 7)], revision: 8 }, 200);
    expect(changes.map(change => change.kind === "written" ? change.item.key : `-${change.key}`))
        .toEqual(["a", "b", "c", "-b"]);
    expect(replica.revision).toBe(8);
    expect(replica.confirmedAt).toBe(200);
});

test("an older snapshot, as a lagging peer has it, has no effect", () => {
    const { replica, changes } = replicaWithLog();
    replica.replace({ items: [item("a", 9)], revision: 9 }, 100);
    replica.replace({ items: [], revision: 6 }, 300);
    expect(replica.get("a")).toBeDefined();
    expect(replica.confirmedAt).toBe(100);
    expect(changes).toHaveLength(1);
});

test("a change that a snapshot already held is not told twice, and a repeated removal not at all", () => {
    const { replica, changes } = replicaWithLog();
    replica.replace({ items: [item("a", 6)], revision: 5 }, 100);
    replica.apply([{ kind: "written", item: item("a", 6) }, { kind: "removed", key: "x", revision: 6 }], 6, 150);
    expect(changes).toHaveLength(1);
});

test("a copy is confirmed only by one that is not newer", () => {
    const { replica } = replicaWithLog();
    replica.replace({ items: [], revision: 5 }, 100);
    replica.confirm(6, 400);
    expect(replica.confirmedAt).toBe(100);
    replica.confirm(5, 300);
    expect(replica.confirmedAt).toBe(300);
    replica.confirm(4, 200);
    expect(replica.confirmedAt).toBe(300);
});
