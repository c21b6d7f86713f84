import { expect, test } from "vitest";
import { Directory } from "./directory.ts";
import type { DirectoryEvent } from "./directory_event.ts";

function register(number: number): DirectoryEvent {
    return {
        kind: "server",
        server: {
            id: `server-${number}`,
            service: "orders",
            address: `127.0.0.1:${number}`,
            failureDomain: "north",
            softwareVersion: "1",
            leaving: false,
            stage: undefined,
            slots: 1,
            coldMilliseconds: 0,
            startedAt: 0,
        },
    };
}

// Guards against an instance that stands still over a page or a watch of the store with many entries: each change was followed by
// passes over all servers.
test("changes that come together are followed by one pass over all servers, which sees all of them", async () => {
    const directory = new Directory();
    let changes = 0;
    const passes: number[] = [];
    directory.onChange(() => changes++);
    directory.onBatch(() => passes.push(directory.servers.size));
    for (let number = 1; number <= 1_000; number++) {
        directory.apply(register(number));
    }
    await Promise.resolve();
    expect([changes, passes]).toEqual([1_000, [1_000]]);
    directory.apply({ kind: "server-removed", id: "server-1" });
    await Promise.resolve();
    expect([changes, passes]).toEqual([1_001, [1_000, 999]]);
});
