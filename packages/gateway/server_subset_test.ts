import { expect, test } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { ServerSubset } from "./server_subset.ts";

const INSTANCES = Array.from({ length: 72 }, (_, index) => `instance-${index}`);
const SERVERS = Array.from({ length: 74 }, (_, index) => ({ id: `server-${index}` }) as RegisteredServer);

function subsetOf(self: string, fraction: number): ServerSubset {
    return new ServerSubset(self, () => fraction, () => INSTANCES.filter(name => name !== self));
}

test("a small fleet chooses from all servers, and every instance from at least two", () => {
    expect(subsetOf("instance-1", 1).narrow(SERVERS, SERVERS.length)).toHaveLength(SERVERS.length);
    expect(subsetOf("instance-1", 0.01).narrow(SERVERS.slice(0, 4), 4)).toHaveLength(2);
});

test("in a large fleet every server is preferred by some instances and none by most of them", () => {
    const preferred = new Map<string, number>();
    for (const self of INSTANCES) {
        for (const { id } of subsetOf(self, 0.13).narrow(SERVERS, SERVERS.length)) {
            preferred.set(id, (preferred.get(id) ?? 0) + 1);
        }
    }
    expect(preferred.size).toBe(SERVERS.length);
    expect(Math.max(...preferred.values())).toBeLessThan(INSTANCES.length / 2);
});

test("other servers are used while the preferred ones are not eligible", () => {
    const subset = subsetOf("instance-1", 0.13);
    const preferred = subset.narrow(SERVERS, SERVERS.length);
    const others = SERVERS.filter(server => !preferred.includes(server));
    expect(subset.narrow(others, SERVERS.length)).toHaveLength(preferred.length);
});

test("all instances agree on which of them send to a cold server", () => {
    for (const { id } of SERVERS) {
        expect(INSTANCES.filter(self => subsetOf(self, 1).isTopRanked(id, 9))).toHaveLength(9);
    }
});
