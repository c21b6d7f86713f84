import { createHash } from "node:crypto";
import type { Cell } from "./cell.ts";
import type { FleetMember } from "./fleet_member.ts";

/** Largest fleet that is one cell; its reports reach each member within 250 ms. */
const MAXIMUM_UNDIVIDED_INSTANCES = 23;
/** Largest number of instances in each of several cells. */
const MAXIMUM_CELL_INSTANCES = 16;
/** Number of instances below which neighbouring failure domains share their cells. */
const MINIMUM_BLOCK_INSTANCES = 8;
/** Largest number of instances that learn of changes from the same readers of the store. */
const MAXIMUM_READER_GROUP_INSTANCES = 80;

/**
 * Divides the instances of a fleet into cells, whose members exchange detailed reports, and into groups that share
 * readers of the store. Both follow failure domains, so that most messages stay within one. All instances that know the
 * same members compute the same partition; a member that joins or leaves moves few others.
 *
 * @example
 * ```ts
 * const partition = new FleetPartition([{ name: "a", failureDomain: "north" }, { name: "b", failureDomain: "south" }]);
 * partition.cellOf("a")?.members; // ["a", "b"]
 * ```
 */
export class FleetPartition {
    readonly cells: readonly Cell[];
    readonly #cellByName = new Map<string, Cell>();
    readonly #readerGroupByName = new Map<string, string[]>();

    /**
     * @param members All instances.
     */
    constructor(members: readonly FleetMember[]) {
        const cells: Cell[] = [];
        let position = 0;
        for (const block of createBlocks(members)) {
            for (const group of splitEvenly(block.members, MAXIMUM_READER_GROUP_INSTANCES)) {
                group.forEach(name => this.#readerGroupByName.set(name, group));
            }
            const isUndivided = members.length <= MAXIMUM_UNDIVIDED_INSTANCES;
            const maximum = isUndivided ? MAXIMUM_UNDIVIDED_INSTANCES : MAXIMUM_CELL_INSTANCES;
            for (const [index, names] of splitEvenly(block.members, maximum).entries()) {
                const start = position / members.length;
                position += names.length;
                const cell = { id: `${block.id}#${index}`, members: names, start, end: position / members.length };
                cells.push(cell);
                names.forEach(name => this.#cellByName.set(name, cell));
            }
        }
        this.cells = cells;
    }

    /**
     * Returns the cell of an instance.
     *
     * @param name Name of the instance.
     * @returns The cell; undefined if the instance is not a member.
     */
    cellOf(name: string): Cell | undefined {
        return this.#cellByName.get(name);
    }

    /**
     * Returns the instances that share readers of the store with an instance.
     *
     * @param name Name of the instance.
     * @returns Their names, including its own; none if the instance is not a member.
     */
    readerGroupOf(name: string): readonly string[] {
        return this.#readerGroupByName.get(name) ?? [];
    }

    /** Whether all instances share the same readers of the store. */
    get hasOneReaderGroup(): boolean {
        return new Set(this.#readerGroupByName.values()).size <= 1;
    }
}

/** Instances of one failure domain, or of neighbouring small ones, ordered by the hashes of their names. */
interface Block {
    id: string;
    members: string[];
}

function createBlocks(members: readonly FleetMember[]): Block[] {
    if (members.length <= MAXIMUM_UNDIVIDED_INSTANCES) {
        return members.length === 0 ? [] : [{ id: "all", members: sortByHash(members.map(({ name }) => name)) }];
    }
    const namesByDomain = new Map<string, string[]>();
    for (const { name, failureDomain } of members) {
        namesByDomain.set(failureDomain, [...namesByDomain.get(failureDomain) ?? [], name]);
    }
    const blocks: Block[] = [];
    let pending: Block = { id: "", members: [] };
    for (const domain of [...namesByDomain.keys()].sort()) {
        pending = {
            id: pending.members.length === 0 ? domain : `${pending.id}+${domain}`,
            members: [...pending.members, ...namesByDomain.get(domain) ?? []],
        };
        if (pending.members.length >= MINIMUM_BLOCK_INSTANCES) {
            blocks.push(pending);
            pending = { id: "", members: [] };
        }
    }
    const last = blocks.at(-1);
    if (last && pending.members.length > 0) {
        last.id += `+${pending.id}`;
        last.members.push(...pending.members);
    }
    return blocks.map(({ id, members: names }) => ({ id, members: sortByHash(names) }));
}

function splitEvenly(names: string[], maximum: number): string[][] {
    const count = Math.max(1, Math.ceil(names.length / maximum));
    const bound = (index: number) => Math.round(index * names.length / count);
    return Array.from({ length: count }, (_, index) => names.slice(bound(index), bound(index + 1)));
}

function sortByHash(names: string[]): string[] {
    const hashes = new Map(names.map(name => [name, createHash("sha1").update(name).digest("hex")]));
    return [...names].sort((left, right) => (hashes.get(left) ?? "") < (hashes.get(right) ?? "") ? -1 : 1);
}
