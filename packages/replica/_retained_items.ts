import { comparePositions } from "./compare_positions.ts";
import type { RetainedItem } from "./retained_item.ts";

/**
 * States of items that are newer than the copy that the store has come back from.
 *
 * @example
 * ```ts
 * const retained = new RetainedItems();
 * retained.add({ key: "a", item, copiedRevision: 0, era: 1, revision: 30, until: 5_000 });
 * retained.get("a")?.item;
 * ```
 */
export class RetainedItems {
    readonly #states = new Map<string, RetainedItem>();

    /** Number of items. */
    get size(): number {
        return this.#states.size;
    }

    /**
     * Finds the retained state of an item.
     *
     * @param key Key of the item.
     * @returns The state, or undefined.
     */
    get(key: string): RetainedItem | undefined {
        return this.#states.get(key);
    }

    /**
     * Lists the retained states.
     *
     * @returns The states.
     */
    all(): RetainedItem[] {
        return [...this.#states.values()];
    }

    /**
     * Retains a state, unless a newer one is retained.
     *
     * @param state The state.
     * @returns Whether it was retained.
     */
    add(state: RetainedItem): boolean {
        const known = this.#states.get(state.key);
        if (known && comparePositions(known, state) >= 0) {
            return false;
        }
        this.#states.set(state.key, state);
        return true;
    }

    /**
     * Ends the retention of an item.
     *
     * @param key Key of the item.
     */
    delete(key: string): void {
        this.#states.delete(key);
    }

    /**
     * Lists the keys of states that were kept for their whole time.
     *
     * @param now Time in milliseconds on the replica's clock.
     * @returns The keys.
     */
    expired(now: number): string[] {
        return this.all().filter(({ until }) => now >= until).map(({ key }) => key);
    }

    /** Ends all retentions. */
    clear(): void {
        this.#states.clear();
    }
}
