import { expect, test } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { findObstacle } from "./_find_obstacle.ts";

// Guards against a hold of an engine's former process that is sent to the new one, which does not know it.
test.each([
    { name: "the same start", startedAt: 1, kind: undefined },
    { name: "another start of the same version", startedAt: 2, kind: "withheld" },
])("a reservation is used while $name is registered: $kind", ({ startedAt, kind }) => {
    const directory = new Directory();
    const engine = {
        id: "a",
        address: "127.0.0.1:1",
        service: "models",
        softwareVersion: "v1",
        startedAt: 1,
    } as RegisteredServer;
    directory.apply({ kind: "server", server: { ...engine, startedAt } });
    const context = {
        directory,
        availability: { isUsable: (server: RegisteredServer) => directory.isUsable(server) },
        promptParts: { isBlocked: () => false },
    };
    expect(findObstacle({ key: undefined, promptParts: [] } as never, engine, context as never)?.kind).toBe(kind);
});
