import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { ItemReplica } from "../replica/mod.ts";
import { StreamVersions } from "./stream_versions.ts";

// Guards against an instance that takes a step of its wall clock for the time for which it has seen no change.
test("a step of the clock makes no instance certain of the versions", async () => {
    let step = 0;
    const clock = new SuspensionAwareClock(() => performance.now(), () => performance.now() + step);
    const replica = new ItemReplica();
    const value = JSON.stringify(["v1", { era: 1 }]);
    const item = { key: "laburnumslip/versions/models", value, era: 2, revision: 1 };
    const read = () => replica.replace({ items: [item], era: 2, revision: 1 }, clock.now());
    const route = { kind: "stream", resumable: true, services: [{ service: "models" }], timeoutMilliseconds: 1_000 };
    const servers = new Map([["i-1", { id: "i-1", service: "models", softwareVersion: "v1" }]]);
    const versions = new StreamVersions({
        self: "instance-1",
        directory: { servers, configuration: { routes: [route] } } as never,
        replica,
        store: {
            list: () => Promise.resolve(ok({ items: [], ...replica.position })),
            write: () => Promise.resolve(ok({ kind: "stored", position: replica.position })),
        },
        clock,
        isFirstStart: false,
        isWriter: () => true,
        directoryAge: () => 0,
        instanceCount: () => 1,
        metrics: new Metrics(),
        logger: { info: () => {}, warn: () => {}, error: () => {} },
    });
    read();
    expect(await versions.find("s1", "models")).toMatchObject({ kind: "unknown" });
    step = 70_000;
    read();
    expect(await versions.find("s1", "models")).toMatchObject({ kind: "unknown" });
});
