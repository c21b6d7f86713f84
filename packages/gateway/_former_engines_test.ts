import { expect, test } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { FormerEngines } from "./_former_engines.ts";

/** Engines by id with the start of their process; 0 for a server that is no engine. */
type Starts = Record<string, number>;

function toServers(starts: Starts): Map<string, RegisteredServer> {
    return new Map(
        Object.entries(starts).map(([id, startedAt]) => [
            id,
            { id, startedAt, stage: startedAt === 0 ? undefined : "decode" } as RegisteredServer,
        ]),
    );
}

// Guards against processes that have ended and are forgotten while streams which they began may be taken up.
test.each<[string, Starts[], string[]]>([
    ["none has ended", [{ a: 1, b: 1, plain: 0 }, { a: 1, b: 1, c: 1 }], []],
    ["one has started again under its id", [{ a: 1, b: 1 }, { a: 2, b: 1 }], ["a1"]],
    ["one has gone as another one came", [{ a: 1, b: 1 }, { b: 1, c: 1 }], ["a1"]],
    ["one is no engine any more", [{ a: 1, b: 1 }, { a: 0, b: 1 }], ["a1"]],
    ["one has gone and returned", [{ a: 1 }, {}, { a: 2 }, { a: 3 }], ["a1", "a2"]],
])("engines that have left: %s", (_name, looks, expected) => {
    const directory = { servers: new Map<string, RegisteredServer>() };
    const former = new FormerEngines(directory);
    for (const starts of looks) {
        directory.servers = toServers(starts);
        former.observe();
    }
    expect(former.list().map(({ id, startedAt }) => `${id}${startedAt}`)).toEqual(expected);
});
