/** Largest number of engines whose hashes are kept. */
const MAXIMUM_HASHES = 8_192;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

const hashesById = new Map<string, number>();

/**
 * Finds the engines that rank first and second for a key by rendezvous hashing (D. Thaler and C. Ravishankar, "Using
 * Name-Based Mappings to Increase Hit Rates", 1998). Whoever knows the same engines finds the same ones; where an engine is
 * missing, only its keys move.
 */
export function rankEngines(key: string, ids: readonly string[]): { first?: string; second?: string; } {
    const keyHash = hashText(key);
    let [first, second]: { id: string; weight: number; }[] = [];
    for (const id of ids) {
        const entry = { id, weight: mix(keyHash ^ hashOf(id)) };
        if (!first || entry.weight > first.weight) {
            [first, second] = [entry, first];
        }
        else if (!second || entry.weight > second.weight) {
            second = entry;
        }
    }
    return { ...first ? { first: first.id } : {}, ...second ? { second: second.id } : {} };
}

function hashOf(id: string): number {
    let hash = hashesById.get(id);
    if (hash === undefined) {
        if (hashesById.size >= MAXIMUM_HASHES) {
            hashesById.clear();
        }
        hash = hashText(id);
        hashesById.set(id, hash);
    }
    return hash;
}

/** Fowler–Noll–Vo hash, FNV-1a, 32 bits. */
function hashText(text: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    }
    return hash;
}

/** Finalisation of MurmurHash3, 32 bits, by Austin Appleby. */
function mix(hash: number): number {
    let mixed = Math.imul(hash ^ hash >>> 16, 0x85ebca6b);
    mixed = Math.imul(mixed ^ mixed >>> 13, 0xc2b2ae35);
    return (mixed ^ mixed >>> 16) >>> 0;
}
