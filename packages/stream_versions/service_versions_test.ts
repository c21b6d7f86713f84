import { expect, test } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { ServiceVersions } from "./service_versions.ts";

const LIFETIME_MILLISECONDS = 64_000;

/** What a look shows: servers as "id version start", the versions on the list, and the era for which it is complete. */
function look(now: number, servers: string[], listed: string[], listEra: number | undefined, era = 2) {
    return {
        registered: {
            servers: servers.map(text => {
                const [id, softwareVersion, startedAt] = text.split(" ");
                return { id, softwareVersion, startedAt, leaving: false } as unknown as RegisteredServer;
            }),
            lifetimeMilliseconds: LIFETIME_MILLISECONDS,
        },
        list: { versions: new Set(listed), era: listEra, unregistered: new Map<string, number>() },
        era,
        now,
        monotonicNow: now,
        confirmedAt: now,
    };
}

const SERVERS = ["a v1 1", "b v1 1"];

// Guards against absence in a copy that is taken for a fact, and against instances that stay in doubt for no reason.
test.each([
    ["a list of this era", look(0, SERVERS, ["v1"], 2), [], true],
    ["a list of the era before", look(0, SERVERS, ["v1"], 1), [], false],
    ["a list that names no era", look(0, SERVERS, ["v1"], undefined), [], false],
    ["no list", look(0, SERVERS, [], undefined), [], false],
    ["a list that others have confirmed since", look(0, SERVERS, ["v1"], 1), [look(300, SERVERS, ["v1"], 2)], true],
    [
        "servers that stay as they were for less than the lifetime of a stream",
        look(0, SERVERS, ["v1"], 1),
        [look(LIFETIME_MILLISECONDS - 1, SERVERS, ["v1"], 1)],
        false,
    ],
    ["no server at the first look", look(0, [], ["v1"], 1), [look(8_300, SERVERS, ["v1"], 1)], false],
    [
        "the lifetime of a stream",
        look(0, SERVERS, ["v1"], 1),
        [look(3_600, ["a v1 1"], ["v1"], 1), look(LIFETIME_MILLISECONDS, ["a v1 1"], ["v1"], 1)],
        true,
    ],
    [
        "another return in the meantime",
        look(0, SERVERS, ["v1"], 1),
        [look(7_000, SERVERS, ["v1"], 1, 3), look(LIFETIME_MILLISECONDS, SERVERS, ["v1"], 1, 3)],
        false,
    ],
    [
        "no read of the store all the while",
        look(0, SERVERS, ["v1"], 1),
        [{ ...look(LIFETIME_MILLISECONDS, SERVERS, ["v1"], 1), confirmedAt: 100 }],
        false,
    ],
    ["memory of the time before a return", look(0, SERVERS, ["v1"], 2), [look(300, SERVERS, ["v1"], 2, 3)], true],
])("certainty that there are no other versions: %s", (_name, first, later, expected) => {
    const versions = new ServiceVersions(false, first);
    later.forEach(observation => versions.observe(observation));
    expect(versions.isCertain).toBe(expected);
});

test("instances that all start for the first time are certain at once", () => {
    expect(new ServiceVersions(true, look(0, SERVERS, [], undefined)).isCertain).toBe(true);
});

// Guards against lists that lack what only this instance knows, that vouch for what nobody knows, or that are undone.
test.each([
    ["a certain instance confirms the list in a new era", true, [["v1"], ["v1"]], { versions: ["v1"], era: 2 }],
    ["and adds a version that the copy lacks", true, [["v1", "v2"], ["v1"]], { versions: ["v1", "v2"], era: 2 }],
    ["an uncertain one confirms nothing", false, [["v1"], ["v1"]], undefined],
    ["and adds what is registered", false, [["v1"], ["v1", "v2"]], { versions: ["v1", "v2"], era: 1 }],
])("the list after the store's return: %s", (_name, isCertain, [before, after], expected) => {
    const servers = (listed: string[] | undefined) => (listed ?? []).map(version => `${version} ${version} 1`);
    const versions = new ServiceVersions(isCertain, look(0, servers(before), ["v1"], undefined, 1));
    const now = look(1_000, servers(after), ["v1"], 1);
    versions.observe(now);
    const wanted = versions.correct(now.list, now.now);
    expect(wanted && { versions: [...wanted.versions].sort(), era: wanted.era }).toEqual(expected);
});

// Guards against lists of an instance that never saw a version and was sooner: the one that saw it adds it, once.
test("a version seen before the return is added to a list that vouches without it, and removed a lifetime later", () => {
    const versions = new ServiceVersions(true, look(0, ["a v1 1", "b v2 1"], ["v1", "v2"], 1, 1));
    const after = look(1_000, ["a v1 1"], ["v1"], 2);
    versions.observe(after);
    expect(versions.correct(after.list, after.now)).toMatchObject({ versions: new Set(["v1", "v2"]), era: 2 });
    const late = look(LIFETIME_MILLISECONDS, ["a v1 1"], ["v1", "v2"], 2);
    versions.observe(late);
    expect(versions.correct(late.list, late.now)).toMatchObject({ versions: new Set(["v1"]), era: 2 });
    const removed = look(LIFETIME_MILLISECONDS + 1, ["a v1 1"], ["v1"], 2);
    versions.observe(removed);
    expect(versions.correct(removed.list, removed.now)).toBeUndefined();
});

// Guards against streams of a process without an entry that are taken for those of a registered version.
test.each([
    ["no entry", SERVERS, 300, ["b started 7", "v1"]],
    ["the entry of its former process still", ["b v1 1"], 300, ["b started 7", "v1"]],
    ["its entry", ["b v2 7"], 300, ["v1", "v2"]],
    ["no entry for the lifetime of a stream", SERVERS, LIFETIME_MILLISECONDS, ["v1"]],
])("a process on the list counts as a version until it is registered: %s", (_name, servers, after, expected) => {
    const withProcess = (now: number, registered: string[]) => {
        const seen = look(now, registered, ["v1"], 2);
        const servers = seen.registered.servers.map(server => ({ ...server, startedAt: Number(server.startedAt) }));
        const list = { ...seen.list, unregistered: new Map([["b", 7]]) };
        return { ...seen, registered: { ...seen.registered, servers }, list };
    };
    const versions = new ServiceVersions(true, withProcess(0, SERVERS));
    const later = withProcess(after, servers);
    versions.observe(later);
    expect(versions.candidates.sort()).toEqual(expected);
    expect(versions.correct(later.list, later.now)?.unregistered.size).toBe(
        expected.length > 1 && !expected.includes("v2") ? undefined : 0,
    );
});
