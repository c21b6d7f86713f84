import { createHash } from "node:crypto";
import type { StoredItem } from "./stored_item.ts";

/** Number of former items that are remembered; the oldest are forgotten first. */
const MAXIMUM_ENTRIES = 10_000;

/**
 * Remembers former items, so that those that stand in an older copy of the store are recognised.
 *
 * @example
 * ```ts
 * const history = new ItemHistory();
 * history.add({ key: "a", value: "1", era: 1, revision: 4 });
 * history.includes({ key: "a", value: "1", era: 2, revision: 4 }); // true
 * ```
 */
export class ItemHistory {
    #fingerprints = new Set<string>();

    /**
     * Lists what identifies the items, the oldest first.
     *
     * @returns The fingerprints.
     */
    fingerprints(): string[] {
        return [...this.#fingerprints];
    }

    /**
     * Adds what another instance remembers; it counts as older than what was added before.
     *
     * @param fingerprints The fingerprints, the oldest first.
     */
    addOlder(fingerprints: string[]): void {
        const all = [...new Set([...fingerprints, ...this.#fingerprints])];
        this.#fingerprints = new Set(all.slice(-MAXIMUM_ENTRIES));
    }

    /**
     * Adds an item that has been replaced or removed.
     *
     * @param item The item.
     */
    add(item: StoredItem): void {
        this.#fingerprints.add(fingerprintOf(item));
        if (this.#fingerprints.size > MAXIMUM_ENTRIES) {
            const [oldest = ""] = this.#fingerprints;
            this.#fingerprints.delete(oldest);
        }
    }

    /**
     * Returns whether an item with the same key, revision and value was added.
     *
     * @param item The item, of any era.
     * @returns Whether it was.
     */
    includes(item: StoredItem): boolean {
        return this.#fingerprints.has(fingerprintOf(item));
    }
}

/** A revision alone does not identify an item, since a later era gives it out again. */
function fingerprintOf({ key, value, revision }: StoredItem): string {
    return createHash("sha1").update(`${revision} ${key} ${value}`).digest("base64");
}
