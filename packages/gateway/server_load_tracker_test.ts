import { expect, test } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { ServerLoadTracker } from "./server_load_tracker.ts";

// Guards against a new process that no peer uses as long as it runs, since the end of its predecessor was noticed only after it had
// registered under the same id: the mark went to the registration of that moment.
test.each([
    { name: "is registered still", before: 1, after: 1, isWithheld: true },
    { name: "has started again at another address", before: 1, after: 2, isWithheld: false },
    { name: "is not registered any more", before: 1, after: undefined, isWithheld: true },
])(
    "a server that is gone from its address and $name is withheld: $isWithheld",
    async ({ before, after, isWithheld }) => {
        const directory = new Directory();
        const serverLoads = new ServerLoadTracker(directory);
        const register = (startedAt: number, address: string) =>
            directory.apply({ kind: "server", server: { id: "a", startedAt, address } as RegisteredServer });
        register(before, "127.0.0.1:1");
        if (after === undefined) {
            directory.apply({ kind: "server-removed", id: "a" });
        }
        else if (after !== before) {
            register(after, "127.0.0.1:2");
        }
        await Promise.resolve();
        serverLoads.markTerminated("a", before);
        expect([serverLoads.gone(), serverLoads.get("a").avoidedUntil > performance.now()])
            .toEqual([isWithheld ? ["a"] : [], isWithheld]);
        // Its next heartbeats change nothing.
        register(after ?? 2, "127.0.0.1:2");
        await Promise.resolve();
        expect(serverLoads.gone()).toEqual(after === before ? ["a"] : []);
    },
);
