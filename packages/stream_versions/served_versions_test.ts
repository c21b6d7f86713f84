import { ok } from "neverthrow";
import { expect, test } from "vitest";
import type { ConditionalWrite } from "../coordination/mod.ts";
import { ItemReplica } from "../replica/mod.ts";
import { ServedVersions } from "./served_versions.ts";

const KEY = "laburnumslip/versions/models";
const LIFETIME_MILLISECONDS = 60_000;

/** An instance that sees servers of some versions; `list` is what the store lists. */
function create(list?: string, timeoutMilliseconds = 1_000) {
    const state = { now: 0, servers: new Map<string, { service: string; softwareVersion: string; }>() };
    const writes: ConditionalWrite[] = [];
    const replica = new ItemReplica();
    let revision = 1;
    const read = (value?: string) => {
        revision++;
        const items = value === undefined ? [] : [{ key: KEY, value, era: 1, revision }];
        replica.replace({ items, era: 1, revision }, 0);
    };
    read(list);
    const route = { kind: "stream", resumable: true, services: [{ service: "models" }], timeoutMilliseconds };
    const versions = new ServedVersions({
        directory: { servers: state.servers, configuration: { routes: [route] } } as never,
        replica,
        store: {
            list: () => Promise.resolve(ok({ items: [], ...replica.position })),
            write: async ([write]) => {
                writes.push(write as ConditionalWrite);
                read(write?.value);
                return ok({ kind: "stored", position: replica.position });
            },
        },
        clock: { now: () => state.now },
        minimumLifetimeMilliseconds: LIFETIME_MILLISECONDS,
        isFirstStart: true,
        isWriter: () => true,
        instanceCount: () => 1,
        logger: { info: () => {}, warn: () => {}, error: () => {} },
    });
    const register = (...softwareVersions: string[]) => {
        state.servers.clear();
        softwareVersions.forEach((softwareVersion, index) =>
            state.servers.set(`i-${index}`, { service: "models", softwareVersion })
        );
        versions.observe();
    };
    const pass = (milliseconds: number) => {
        state.now += milliseconds;
        versions.observe();
    };
    return { versions, writes, read, register, pass };
}

test.each([
    ["the only version", undefined, [["v1"]], 0, ["v1"]],
    ["two versions side by side", undefined, [["v1", "v2"]], 0, ["v1", "v2"]],
    ["a version that has just left", undefined, [["v1"], ["v2"]], LIFETIME_MILLISECONDS - 1, ["v1", "v2"]],
    ["a version that left long ago", undefined, [["v1"], ["v2"]], LIFETIME_MILLISECONDS, ["v2"]],
    ["a version that only the store lists", '["v1"]', [["v2"]], 0, ["v1", "v2"]],
    ["a version that the store still lists", '["v1"]', [["v2"]], 2 * LIFETIME_MILLISECONDS, ["v1", "v2"]],
    ["an item of another writer", "{not a list", [["v2"]], 0, ["v2"]],
])("versions that may have begun a stream: %s", (_name, list, registrations, milliseconds, expected) => {
    const { versions, register, pass } = create(list);
    registrations.forEach(registered => register(...registered));
    pass(milliseconds);
    expect(versions.candidates("models").sort()).toEqual(expected);
    expect(versions.mixedServices().has("models")).toBe(expected.length > 1);
});

test("a version stays for longer where a route's streams last longer", () => {
    const { versions, register, pass } = create(undefined, LIFETIME_MILLISECONDS);
    register("v1");
    register("v2");
    pass(2 * LIFETIME_MILLISECONDS - 1);
    expect(versions.candidates("models").sort()).toEqual(["v1", "v2"]);
});

test("the list in the store follows the versions in service, and is written only when it changes", async () => {
    const { versions, writes, register, pass } = create();
    register("v1");
    await versions.record();
    await versions.record();
    register("v1", "v2");
    await versions.record();
    register("v2");
    await versions.record();
    pass(LIFETIME_MILLISECONDS);
    await versions.record();
    await versions.record();
    expect(writes.map(({ value }) => value)).toEqual([
        '["v1",{"era":1}]',
        '["v1","v2",{"era":1}]',
        '["v2",{"era":1}]',
    ]);
    versions.observe();
    expect(versions.candidates("models")).toEqual(["v2"]);
});

// Guards against instances that write the list over and over since each remembers other versions that have left.
test("a version that another instance has taken off the list is not added again", async () => {
    const { versions, writes, read, register } = create('["v1"]');
    register("v2");
    await versions.record();
    read('["v2",{"era":1}]');
    await versions.record();
    expect(writes.map(({ value }) => value)).toEqual(['["v1","v2",{"era":1}]']);
    expect(versions.candidates("models").sort()).toEqual(["v1", "v2"]);
});

// Guards against a list that a former build and this one write over and over, since one remembers a version for longer.
test.each([
    ["names all that are registered, once that build has read it", '["v2"]', 1_000],
    ["lacks a version that is registered, at once", '["v1"]', 0],
])("a list without an era that %s", async (_name, list, milliseconds) => {
    const { versions, writes, read, register, pass } = create('["v1","v2",{"era":1}]');
    register("v2");
    await versions.record();
    read(list);
    pass(milliseconds - 1);
    await versions.record();
    expect(writes).toHaveLength(milliseconds === 0 ? 1 : 0);
    pass(1);
    await versions.record();
    expect(writes.map(({ value }) => value)).toEqual(['["v1","v2",{"era":1}]']);
});
