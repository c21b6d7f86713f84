import { expect, test } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { ServiceVersions } from "./service_versions.ts";

/** What a look shows at a time: engines of the versions, a list of the era before. */
function look(now: number, versions: string[], era: number) {
    const servers = versions.map(softwareVersion =>
        ({ id: softwareVersion, softwareVersion, startedAt: 1, leaving: false }) as unknown as RegisteredServer
    );
    return {
        registered: { servers, lifetimeMilliseconds: 64_000 },
        list: { versions: new Set(["v1"]), era: 1 },
        era,
        now,
        monotonicNow: now,
        confirmedAt: now,
    };
}

// Guards against steadiness that is concluded from nothing, since no server was registered at first.
test("an instance that saw no server at first has not seen that all of them stayed", () => {
    const versions = new ServiceVersions(false, look(0, [], 2));
    versions.observe(look(300, ["v1"], 2));
    versions.observe(look(8_300, ["v1"], 2));
    expect(versions.isCertain).toBe(false);
});
