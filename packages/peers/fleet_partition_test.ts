import { expect, test } from "vitest";
import type { FleetMember } from "./fleet_member.ts";
import { FleetPartition } from "./fleet_partition.ts";

function createMembers(count: number, domains: number): FleetMember[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `instance-${index}`,
        failureDomain: `domain-${index % domains}`,
    }));
}

test.each([[1, 1], [9, 3], [16, 5], [21, 3], [23, 5], [24, 5], [72, 3], [87, 3], [195, 5], [410, 4]])(
    "%i instances in %i domains are all in one cell each, of bounded size",
    (count, domains) => {
        const members = createMembers(count, domains);
        const partition = new FleetPartition(members);
        expect(partition.cells.flatMap(cell => cell.members).sort()).toEqual(members.map(({ name }) => name).sort());
        for (const cell of partition.cells) {
            expect(cell.members.length).toBeLessThanOrEqual(count <= 23 ? 23 : 16);
            cell.members.forEach(name => expect(partition.cellOf(name)).toBe(cell));
            cell.members.forEach(name => expect(partition.readerGroupOf(name)).toContain(name));
        }
        expect(partition.cells.at(-1)?.end).toBeCloseTo(1);
    },
);

test("a fleet of up to 23 instances is one cell, and has one reader group", () => {
    const partition = new FleetPartition(createMembers(23, 3));
    expect(partition.cells).toHaveLength(1);
    expect(partition.hasOneReaderGroup).toBe(true);
});

test("the cells of a large fleet do not cross failure domains, and small domains share one", () => {
    const members = createMembers(195, 5);
    const domainOf = new Map(members.map(({ name, failureDomain }) => [name, failureDomain]));
    for (const cell of new FleetPartition(members).cells) {
        expect(new Set(cell.members.map(name => domainOf.get(name))).size).toBe(1);
    }
    const small = new FleetPartition(createMembers(24, 5));
    expect(Math.min(...small.cells.map(cell => cell.members.length))).toBeGreaterThanOrEqual(8);
});

test("a member that leaves or joins moves few others to another cell", () => {
    const members = createMembers(195, 5);
    const before = new FleetPartition(members);
    const after = new FleetPartition(members.slice(1));
    const moved = members.slice(1).filter(({ name }) => before.cellOf(name)?.id !== after.cellOf(name)?.id);
    expect(moved.length).toBeLessThanOrEqual(2);
});

test("the order in which members become known does not matter", () => {
    const members = createMembers(87, 3);
    const cells = (list: FleetMember[]) => new FleetPartition(list).cells.map(({ id, members: names }) => [id, names]);
    expect(cells([...members].reverse())).toEqual(cells(members));
});
