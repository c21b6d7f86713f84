import { expect, onTestFinished, test } from "vitest";
import { PortBlock } from "../harness/mod.ts";
import { StoreStandIn } from "../stand_ins/mod.ts";
import { HttpStore } from "../store/mod.ts";
import { onceRecordKey, OnceShard } from "./mod.ts";

// Guards against a call that runs a second time: the home that recorded it has ended, and the store came back without it.
test("a call whose record the copy lacks is not begun again once its home has ended", async () => {
    const ports = await PortBlock.reserve();
    const standIn = new StoreStandIn(`127.0.0.1:${ports.next()}`);
    await standIn.listen();
    const store = new HttpStore(standIn.address);
    onTestFinished(async () => {
        await store.close();
        await standIn.close();
        await ports.close();
    });
    const copy = standIn.copy();
    const call = { key: onceRecordKey("north", "orders", "1"), fingerprint: "f", owner: "x/1" };
    expect(await new OnceShard(store, "once/0").begin({ ...call, attempt: "a" })).toEqual({ kind: "begun" });
    standIn.restore(copy);
    // A member that has ended is not asked, so that the others have nothing to tell.
    const later = new OnceShard(store, "once/0", { collectRecords: () => Promise.resolve([]) });
    expect(await later.begin({ ...call, attempt: "b" })).not.toEqual({ kind: "begun" });
});
