import { expect, test } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { ServiceVersions } from "./service_versions.ts";

/** What a look shows at a time: engines of the versions, a list of the era before, and when the store was last read. */
function look(now: number, versions: string[], era: number, confirmedAt = now) {
    const servers = versions.map(softwareVersion =>
        ({ id: softwareVersion, softwareVersion, startedAt: 1, leaving: false }) as unknown as RegisteredServer
    );
    return {
        registered: { servers, lifetimeMilliseconds: 64_000 },
        list: { versions: new Set(["v1"]), era: 1, unregistered: new Map<string, number>() },
        era,
        now,
        monotonicNow: now,
        confirmedAt,
    };
}

// Guards against an instance that was cut off, or stood still, over the return, and vouches for what it did not see.
test("an instance that did not read the store for long before its return is not certain, and does not vouch", () => {
    const versions = new ServiceVersions(true, look(0, ["v1"], 1));
    versions.observe(look(20_000, ["v1"], 1, 0));
    const back = look(20_200, ["v1"], 2);
    versions.observe(back);
    expect(versions.isCertain).toBe(false);
    expect(versions.correct(back.list, back.now)?.era).not.toBe(2);
});
