import { expect, onTestFinished, test } from "vitest";
import { PortBlock } from "../harness/mod.ts";
import { StoreStandIn } from "../stand_ins/mod.ts";
import { HttpStore } from "./mod.ts";

const WAIT_MILLISECONDS = 5_000;

async function startStore(): Promise<{ standIn: StoreStandIn; store: HttpStore; }> {
    const ports = await PortBlock.reserve();
    const standIn = new StoreStandIn(`127.0.0.1:${ports.next()}`);
    await standIn.listen();
    const store = new HttpStore(standIn.address);
    onTestFinished(async () => {
        await store.close();
        await standIn.close();
        await ports.close();
    });
    return { standIn, store };
}

// Guards against a revision that the store has given out again being taken for the state that had it before.
test("a condition of an earlier era fails, though its revision was given out again", async () => {
    const { standIn, store } = await startStore();
    const copy = standIn.copy();
    const written = (await store.compareAndSwap("a", { era: 1, revision: 0 }, "lost"))._unsafeUnwrap();
    standIn.restore(copy);
    const rewritten = (await store.compareAndSwap("a", { era: 2, revision: 0 }, "kept"))._unsafeUnwrap();
    expect([written, rewritten]).toEqual([
        { kind: "stored", position: { era: 1, revision: 1 } },
        { kind: "stored", position: { era: 2, revision: 1 } },
    ]);
    const late = (await store.compareAndSwap("a", { era: 1, revision: 1 }, "late"))._unsafeUnwrap();
    expect(late).toEqual({ kind: "conflict", current: { era: 2, revision: 1, value: "kept" } });
});

// Guards against a watch that waits until the revisions of the new era have passed those of the one before.
test("a watch is answered at once when the store comes back from an older copy", async () => {
    const { standIn, store } = await startStore();
    const copy = standIn.copy();
    await store.compareAndSwap("a", { era: 1, revision: 0 }, "lost");
    const startedAt = performance.now();
    const pending = store.watch("a", { era: 1, revision: 1 }, WAIT_MILLISECONDS);
    setTimeout(() => standIn.restore(copy), 100);
    expect((await pending)._unsafeUnwrap()).toEqual({ era: 2, revision: 0, value: undefined });
    expect((await store.watch("a", { era: 1, revision: 1 }, WAIT_MILLISECONDS))._unsafeUnwrap().era).toBe(2);
    expect(performance.now() - startedAt).toBeLessThan(WAIT_MILLISECONDS);
});
