import { expect, test } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { FleetPartition } from "../peers/mod.ts";
import { ServerSubset } from "./server_subset.ts";

const DOMAINS = ["north", "south", "west"];
const INSTANCES = Array.from({ length: 72 }, (_, index) => `instance-${index}`);
const SERVERS = Array.from(
    { length: 74 },
    (_, index) => ({ id: `server-${index}`, failureDomain: DOMAINS[index % 3] }) as RegisteredServer,
);

function subsetOf(self: string, instances = INSTANCES, fraction = 1): ServerSubset {
    const members = instances.map((name, index) => ({ name, failureDomain: DOMAINS[index % 3] ?? "" }));
    const partition = new FleetPartition(members);
    const peers = () => instances.filter(name => name !== self);
    return new ServerSubset(self, () => partition.cellOf(self), () => fraction, peers);
}

test("a small fleet chooses from all servers, and every instance of a large one from at least two", () => {
    const small = INSTANCES.slice(0, 9);
    expect(subsetOf("instance-1", small).narrow(SERVERS, SERVERS)).toHaveLength(SERVERS.length);
    const few = SERVERS.slice(0, 4);
    expect(INSTANCES.map(self => subsetOf(self).narrow(few, few).length)).toEqual(INSTANCES.map(() => 2));
});

test("in a large fleet every server is preferred by some instances and none by most of them", () => {
    const preferred = new Map<string, number>();
    for (const self of INSTANCES) {
        for (const { id } of subsetOf(self).narrow(SERVERS, SERVERS)) {
            preferred.set(id, (preferred.get(id) ?? 0) + 1);
        }
    }
    expect(preferred.size).toBe(SERVERS.length);
    expect(Math.max(...preferred.values())).toBeLessThan(INSTANCES.length / 2);
});

test("in a fleet of one cell with late reports, the instances prefer different servers", () => {
    const instances = INSTANCES.slice(0, 21);
    const preferred = new Map<string, number>();
    for (const self of instances) {
        const servers = subsetOf(self, instances, 0.45).narrow(SERVERS, SERVERS);
        expect(servers).toHaveLength(Math.ceil(SERVERS.length * 0.45));
        servers.forEach(({ id }) => preferred.set(id, (preferred.get(id) ?? 0) + 1));
    }
    expect(preferred.size).toBe(SERVERS.length);
    expect(Math.max(...preferred.values())).toBeLessThan(instances.length);
});

test("members of a cell prefer the same servers, mostly of their own failure domain", () => {
    const partition = new FleetPartition(
        INSTANCES.map((name, index) => ({ name, failureDomain: DOMAINS[index % 3] ?? "" })),
    );
    for (const { members } of partition.cells) {
        const choices = members.map(self => subsetOf(self).narrow(SERVERS, SERVERS));
        expect(new Set(choices.map(servers => servers.map(({ id }) => id).sort().join())).size).toBe(1);
        const domain = DOMAINS[INSTANCES.indexOf(members[0] ?? "") % 3];
        const own = choices[0]?.filter(({ failureDomain }) => failureDomain === domain) ?? [];
        expect(own.length).toBeGreaterThan((choices[0]?.length ?? 0) / 2);
    }
});

test("other servers are used, not always the same one, while the preferred ones are not eligible", () => {
    const subset = subsetOf("instance-1");
    const preferred = subset.narrow(SERVERS, SERVERS);
    const others = SERVERS.filter(server => !preferred.includes(server));
    const used = new Set<string>();
    for (let choice = 0; choice < 100; choice++) {
        const [server] = subset.narrow(others, SERVERS);
        expect(others).toContain(server);
        used.add(server?.id ?? "");
    }
    expect(used.size).toBeGreaterThan(preferred.length);
});

test("all instances agree on which of them send to a cold server", () => {
    for (const { id } of SERVERS) {
        expect(INSTANCES.filter(self => subsetOf(self).isTopRanked(id, 9))).toHaveLength(9);
    }
});

// Guards against positions that are kept while the instances change, so that two instances take one place.
test("the position of an instance follows the instances that join and leave", () => {
    let peers = INSTANCES.slice(1, 9);
    const subset = new ServerSubset("instance-0", () => undefined, () => 1, () => peers);
    for (const last of [9, 30, 5]) {
        peers = INSTANCES.slice(1, last);
        const expected = SERVERS.map(({ id }) => subsetOf("instance-0", INSTANCES.slice(0, last)).rankOf(id));
        expect(SERVERS.map(({ id }) => subset.rankOf(id))).toEqual(expected);
    }
});
