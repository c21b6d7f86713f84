const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Selects a member for each key of a group by rendezvous hashing.
 *
 * @param memberIds Ids of the members, `name/incarnation`. Only names count, so that a restarted member keeps its keys.
 * @param group Name of the group.
 * @param count Number of keys in the group.
 * @returns The id of the member of each key. Ids repeat only if there are fewer members than keys.
 * @example
 * ```ts
 * selectMembers(["a/1", "b/2", "c/3"], "organisation/north", 2); // for instance ["c/3", "a/1"]
 * ```
 */
export function selectMembers(memberIds: string[], group: string, count: number): string[] {
    const hashes = hashNames(memberIds);
    const homes: string[] = [];
    for (let index = 0; index < count; index++) {
        const home = selectHighest(memberIds, hashes, hashText(`${group}#${index}`), homes);
        if (home === undefined) {
            return homes;
        }
        homes.push(home);
    }
    return homes;
}

/** Cached hashes of the names by list of members; an entry is dropped with its list. */
const hashesByList = new WeakMap<string[], number[]>();

function hashNames(memberIds: string[]): number[] {
    let hashes = hashesByList.get(memberIds);
    if (hashes?.length !== memberIds.length) {
        hashes = memberIds.map(id => hashText(id.slice(0, id.lastIndexOf("/"))));
        hashesByList.set(memberIds, hashes);
    }
    return hashes;
}

function selectHighest(memberIds: string[], hashes: number[], keyHash: number, selected: string[]): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    const allSelected = selected.length >= memberIds.length;
    for (const [index, id] of memberIds.entries()) {
        const score = mix(keyHash ^ (hashes[index] ?? 0));
        const isBetter = score > bestScore || score === bestScore && best !== undefined && id > best;
        if (isBetter && (allSelected || !selected.includes(id))) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}

/** FNV-1a, followed by a finalizer so that similar texts have dissimilar hashes. */
function hashText(text: string): number {
    let value = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
    }
    return mix(value);
}

/** The finalizer of MurmurHash3. */
function mix(input: number): number {
    let value = input;
    value ^= value >>> 16;
    value = Math.imul(value, 0x85ebca6b);
    value ^= value >>> 13;
    value = Math.imul(value, 0xc2b2ae35);
    return (value ^ value >>> 16) >>> 0;
}
