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
export function rankMembers(memberIds: string[], group: string, count: number): string[] {
    const homes: string[] = [];
    for (let index = 0; index < count; index++) {
        const free = memberIds.filter(id => !homes.includes(id));
        const home = highest(free.length > 0 ? free : memberIds, `${group}#${index}`);
        if (home === undefined) {
            return homes;
        }
        homes.push(home);
    }
    return homes;
}

function highest(memberIds: string[], key: string): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const id of memberIds) {
        const score = hash(key, id.slice(0, id.lastIndexOf("/")));
        if (score > bestScore || score === bestScore && best !== undefined && id > best) {
            best = id;
            bestScore = score;
        }
    }
    return best;
}

/** FNV-1a over both texts, then the finalizer of MurmurHash3 to spread similar inputs. */
function hash(key: string, name: string): number {
    let value = FNV_OFFSET;
    for (const text of [key, "\n", name]) {
        for (let index = 0; index < text.length; index++) {
            value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
        }
    }
    value ^= value >>> 16;
    value = Math.imul(value, 0x85ebca6b);
    value ^= value >>> 13;
    value = Math.imul(value, 0xc2b2ae35);
    return (value ^ value >>> 16) >>> 0;
}
