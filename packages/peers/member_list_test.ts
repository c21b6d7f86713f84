import { expect, test } from "vitest";
import { MemberList } from "./member_list.ts";
import type { Peer } from "./peer.ts";

function createPeer(name: string, incarnation = "1"): Peer {
    return { name, incarnation, address: `10.0.0.1:${name.length}`, failureDomain: "north" };
}

function createList() {
    const times = { now: 100_000 };
    return { times, members: new MemberList(createPeer("self"), () => times.now) };
}

function namesOf(members: MemberList): string[] {
    return members.peers().map(({ peer }) => peer.name);
}

test("a store that loses all registrations does not make the fleet look smaller at once", () => {
    const { times, members } = createList();
    ["a", "b"].forEach(name => members.register(createPeer(name)));
    ["a", "b"].forEach(name => members.unregister(name));
    times.now += 5_900;
    expect(namesOf(members)).toEqual(["a", "b"]);
    members.register(createPeer("a"));
    times.now += 200;
    expect(namesOf(members)).toEqual(["a"]);
});

test("a peer that reports is known without a registration, until it has been silent for a time", () => {
    const { times, members } = createList();
    members.recordReport(createPeer("a"), true);
    times.now += 5_900;
    expect(namesOf(members)).toEqual(["a"]);
    times.now += 200;
    expect(namesOf(members)).toEqual([]);
});

test("a peer whose registration is removed after it has fallen silent leaves at once", () => {
    const { times, members } = createList();
    members.register(createPeer("a"));
    members.recordReport(createPeer("a"), true);
    times.now += 7_000;
    expect(members.silentMates().map(({ name }) => name)).toEqual(["a"]);
    members.unregister("a");
    expect(namesOf(members)).toEqual([]);
});

test("a new process of an instance replaces the former one and is not suspected or silent", () => {
    const { times, members } = createList();
    members.register(createPeer("a", "1"));
    members.suspect("a");
    expect(members.isSuspected("a")).toBe(true);
    times.now += 7_000;
    members.register(createPeer("a", "2"));
    expect(members.isSuspected("a")).toBe(false);
    expect(members.silentMates()).toEqual([]);
    expect(members.find("a")?.peer.incarnation).toBe("2");
});

test("suspicion ends with a report or with time, and nobody suspects itself", () => {
    const { times, members } = createList();
    members.register(createPeer("a"));
    members.suspect("a");
    members.recordReport(createPeer("a"), true);
    expect(members.isSuspected("a")).toBe(false);
    members.suspect("a");
    times.now += 3_100;
    expect(members.isSuspected("a")).toBe(false);
    members.register(createPeer("self", "2"));
    expect(namesOf(members)).toEqual(["a"]);
});

// Guards against what is computed from the names being computed for every request, or not after a change.
test("the array of names stays the same until an instance joins or leaves", () => {
    const { times, members } = createList();
    members.register(createPeer("a"));
    const { names } = members;
    members.recordReport(createPeer("a"), true);
    expect(members.names).toBe(names);
    members.register(createPeer("b"));
    expect(members.names).toEqual(["a", "b"]);
    members.unregister("a");
    times.now += 7_000;
    expect(members.names).toEqual(["b"]);
});

// Guards against peers to which nothing can be passed on, since their reports came after or before their registrations.
test("reports name no address for callers, and leave that of the registration", () => {
    const { members } = createList();
    const callersAddress = "10.0.0.1:80";
    members.recordReport(createPeer("a"), true, true);
    members.register({ ...createPeer("a"), callersAddress });
    expect(members.find("a")).toMatchObject({ peer: { callersAddress }, serversReachable: true });
    members.recordReport(createPeer("a"), true, false);
    expect(members.find("a")).toMatchObject({ peer: { callersAddress }, serversReachable: false });
    members.recordReport(createPeer("a", "2"), true);
    expect(members.find("a")).toMatchObject({ peer: createPeer("a", "2"), serversReachable: undefined });
    expect(members.find("a")?.peer.callersAddress).toBeUndefined();
});
