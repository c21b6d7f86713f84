import { expect, test } from "vitest";
import type { KnownPeer } from "../peers/mod.ts";
import { RelayPeerChooser } from "./relay_peer_chooser.ts";

const NO_PEERS: ReadonlySet<string> = new Set();

function peer(name: string, changes: Partial<KnownPeer & KnownPeer["peer"]> = {}): KnownPeer {
    const { serversReachable, lastReportAt = 10_000, ...identity } = changes;
    return {
        peer: { name, incarnation: "1", address: "", failureDomain: "north", callersAddress: `${name}:1`, ...identity },
        serversReachable,
        lastReportAt,
        readsStore: true,
    };
}

const unknown = (name: string) => peer(name);
const reaching = (name: string, changes = {}) => peer(name, { serversReachable: true, ...changes });
const isolated = (name: string) => peer(name, { serversReachable: false });

// Guards against requests that go to peers without links, or farther than they need.
test.each([
    { peers: [], chosen: [] },
    { peers: [isolated("a"), isolated("b")], chosen: [] },
    { peers: [isolated("a"), unknown("b")], chosen: ["b"] },
    { peers: [unknown("a"), reaching("b"), reaching("c")], chosen: ["b", "c"] },
    { peers: [reaching("a", { failureDomain: "south" }), reaching("b")], chosen: ["b"] },
    { peers: [reaching("a", { failureDomain: "south" }), unknown("b")], chosen: ["a"] },
    { peers: [reaching("a", { lastReportAt: 8_000 }), reaching("b", { lastReportAt: 9_000 })], chosen: ["b"] },
    { peers: [reaching("a", { lastReportAt: 8_000 }), unknown("b")], chosen: ["a", "b"] },
    { peers: [reaching("a", { callersAddress: undefined }), unknown("b")], chosen: ["b"] },
    { peers: [reaching("a", { callersAddress: undefined })], chosen: [] },
])("chooses among $chosen", ({ peers, chosen }) => {
    const found = new Set<string>();
    for (let draw = 0; draw < 20; draw++) {
        const chooser = new RelayPeerChooser("north", () => peers, () => 10_000, () => draw / 20);
        const { name } = chooser.choose("orders", NO_PEERS) ?? {};
        if (name !== undefined) {
            found.add(name);
        }
    }
    expect([...found].toSorted()).toEqual(chosen);
});

// Guards against peers that get all requests of an isolated instance while others are idle.
test("of two peers, the one with fewer requests from here is chosen", () => {
    const chooser = new RelayPeerChooser("north", () => [reaching("a"), reaching("b")], () => 10_000, () => 0);
    const end = chooser.begin("a");
    expect(chooser.choose("orders", NO_PEERS)?.name).toBe("b");
    end();
    expect(chooser.choose("orders", NO_PEERS)?.name).toBe("a");
});

// Guards against a peer that is asked again and again although it cannot take requests, and against one that is given up.
test("a peer that could not take a request is left out for a second", () => {
    let now = 10_000;
    const chooser = new RelayPeerChooser("north", () => [unknown("a")], () => now);
    chooser.leaveOut("a", "orders");
    expect(chooser.choose("orders", NO_PEERS)).toBeUndefined();
    expect(chooser.choose("models", NO_PEERS)?.name).toBe("a");
    chooser.leaveOut("a");
    expect(chooser.choose("models", NO_PEERS)).toBeUndefined();
    now += 1_000;
    expect(chooser.choose("orders", NO_PEERS)?.name).toBe("a");
    expect(chooser.choose("orders", new Set(["a"]))).toBeUndefined();
});

// Guards against requests that reach a peer in the moment of its end, since it is asked again each second.
test("a peer that leaves is left out until it has ended, and its successor is not", () => {
    let now = 10_000;
    let incarnation = "1";
    const chooser = new RelayPeerChooser("north", () => [peer("a", { incarnation })], () => now);
    chooser.leaveOutLeaving({ name: "a", incarnation: "1" });
    now += 7_000;
    expect(chooser.choose("orders", NO_PEERS)).toBeUndefined();
    incarnation = "2";
    expect(chooser.choose("orders", NO_PEERS)?.name).toBe("a");
});
