import { err, ok } from "neverthrow";
import { expect, test } from "vitest";
import type { CoordinationStore } from "../coordination/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { ItemReplica } from "../replica/mod.ts";
import { StoreFailure } from "../store/mod.ts";
import { StreamVersions } from "./stream_versions.ts";

const KEY = "laburnumslip/versions/models";

function item(value: string) {
    return { key: KEY, value, era: 2, revision: 2 };
}

/** An instance that reads servers of the version v1, and a list that is complete for an era of the store. */
function create(
    listEra: number,
    isFirstStart = false,
    confirmedAt = 0,
    stored?: ReturnType<CoordinationStore["list"]>,
) {
    const replica = new ItemReplica();
    const value = JSON.stringify(["v1", { era: listEra }]);
    replica.replace({
        items: [{ key: KEY, value, era: 2, revision: 1 }],
        era: 2,
        revision: 1,
    }, 0);
    replica.confirm({ era: 2, revision: 1 }, confirmedAt);
    const route = { kind: "stream", resumable: true, services: [{ service: "models" }], timeoutMilliseconds: 1_000 };
    const server = { id: "i-1", service: "models", softwareVersion: "v1" };
    return new StreamVersions({
        self: "instance-1",
        directory: { servers: new Map([[server.id, server]]), configuration: { routes: [route] } } as never,
        replica,
        store: {
            list: () =>
                stored
                    ?? Promise.resolve(ok({ items: [{ key: KEY, value, era: 2, revision: 1 }], era: 2, revision: 1 })),
            write: () => Promise.resolve(ok({ kind: "stored", position: replica.position })),
        },
        clock: { now: () => 0 } as never,
        isFirstStart,
        isWriter: () => true,
        directoryAge: () => 0,
        instanceCount: () => 1,
        metrics: new Metrics(),
        logger: { info: () => {}, warn: () => {}, error: () => {} },
    });
}

// Guards against conclusions that outlive the request for which they were drawn, as if the stream had been recorded.
test("a stream of the only version is concluded anew each time", async () => {
    const versions = create(2);
    for (let attempt = 0; attempt < 3; attempt++) {
        expect(await versions.find("s1", "models")).toMatchObject({ kind: "only-version", version: "v1" });
    }
});

test.each([
    ["a list of this era", 2, false, "only-version"],
    ["a list of the era before", 1, false, "unknown"],
    ["the first start of all instances", 1, true, "only-version"],
])("a stream without a record: %s", async (_name, listEra, isFirstStart, kind) => {
    const finding = await create(listEra, isFirstStart).find("s1", "models");
    expect(finding).toMatchObject({ kind, evidence: { registered: ["v1"], listed: ["v1"], listEra } });
});

// Guards against a stream of a version that has been listed since the last read of the instance that takes it up.
test.each([
    ["lists another version, too", ok({ items: [item('["v1","v2",{"era":2}]')], era: 2, revision: 2 }), "unknown"],
    ["has come back since", ok({ items: [item('["v1",{"era":2}]')], era: 3, revision: 1 }), "unknown"],
    ["does not answer", err(new StoreFailure("not-run", "down")), "unknown"],
    ["has no list", ok({ items: [], era: 2, revision: 2 }), "only-version"],
])("a stream of the only version, where the store %s", async (_name, stored, kind) => {
    expect(await create(2, false, 0, Promise.resolve(stored)).find("s1", "models")).toMatchObject({ kind });
});

// Guards against testimony of engines while the one that began a stream has yet to register after the store's return.
test.each([
    ["at once after a start", 1, 0, false],
    ["after a read that began 2 s later", 1, 2_000, true],
    ["at once with a list of this era", 2, 0, true],
])("servers that are alive have registered again: %s", async (_name, listEra, confirmedAt, expected) => {
    const versions = create(listEra, false, confirmedAt);
    await versions.find("s1", "models");
    expect(versions.haveServersReturned("models")).toBe(expected);
});

test("a stream that began here is known while nobody is certain of the versions", async () => {
    const versions = create(1);
    versions.begin("s1", { service: "models", version: "v2" });
    const record = { source: "begun-here", ageMilliseconds: 0 };
    expect(await versions.find("s1", "models")).toMatchObject({
        kind: "recorded",
        version: "v2",
        evidence: { record },
    });
});
