const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Chooses the homes of a group of keys by rendezvous hashing.
 *
 * @param memberIds Ids of the members, `name/incarnation`. A restarted member keeps its homes, as only names count.
 * @param group Name of the group.
 * @param count Number of keys in the group.
 * @returns The home of each key; members repeat only if there are fewer members than keys.
 * @example
 * ```ts
 * rankMembers(["a/1", "b/2", "c/3"], "organisation/north", 2); // for instance ["c/3", "a/1"]
 * ```
 */
export function selectMembers(memberIds: string[], group: string, count: number): string[] {
    const hashes = hashesOf(memberIds);
    const homes: string[] = [];
    for (let index = 0; index < count; index++) {
        const home = highest(memberIds, hashes, hashText(`${group}#${index}`), homes);
        if (home === undefined) {
            return homes;
        }
        homes.push(home);
    }
    return homes;
}

/** Hashes of the names, kept as long as the list itself is in use. */
const hashesByList = new WeakMap<string[], number[]>();

function hashesOf(memberIds: string[]): number[] {
    let hashes = hashesByList.get(memberIds);
    if (hashes?.length !== memberIds.length) {
        hashes = memberIds.map(id => hashText(id.slice(0, id.lastIndexOf("/"))));
        hashesByList.set(memberIds, hashes);
    }
    return hashes;
}

function highest(memberIds: string[], hashes: number[], keyHash: number, taken: string[]): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    const allTaken = taken.length >= memberIds.length;
    for (const [index, id] of memberIds.entries()) {
        const score = mix(keyHash ^ (hashes[index] ?? 0));
        const wins = score > bestScore || score === bestScore && best !== undefined && id > best;
        if (wins && (allTaken || !taken.includes(id))) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}

/** FNV-1a, mixed so that similar texts have unlike hashes. */
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
