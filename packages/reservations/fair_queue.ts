/** A queued request. */
interface Waiter {
    organisation: string;
    weight: number;
    priority: number;
    /** Capacity that the item needs. */
    cost: number;
}

interface Entry<Item extends Waiter> {
    item: Item;
    /** Virtual time at which weighted fair queueing finishes the item. */
    finish: number;
    /** Breaks ties in order of arrival. */
    sequence: number;
}

/**
 * Queue that serves higher priorities first and, within a priority, organisations by weighted fair queueing.
 *
 * @example
 * ```ts
 * const queue = new FairQueue();
 * queue.push({ organisation: "north", weight: 1, priority: 5, cost: 2 });
 * queue.peek()?.organisation; // "north"
 * ```
 */
export class FairQueue<Item extends Waiter> {
    #entries: Entry<Item>[] = [];
    readonly #lastFinish = new Map<string, number>();
    #virtualTime = 0;
    #sequence = 0;

    /** Number of items. */
    get size(): number {
        return this.#entries.length;
    }

    /**
     * Counts the items of an organisation.
     *
     * @param organisation Name of the organisation.
     * @returns The number.
     */
    countOf(organisation: string): number {
        return this.#entries.reduce((count, { item }) => item.organisation === organisation ? count + 1 : count, 0);
    }

    /**
     * Adds an item.
     *
     * @param item The item.
     */
    push(item: Item): void {
        const key = `${item.priority}/${item.organisation}`;
        const start = Math.max(this.#virtualTime, this.#lastFinish.get(key) ?? 0);
        const finish = start + item.cost / item.weight;
        this.#lastFinish.set(key, finish);
        this.#entries.push({ item, finish, sequence: this.#sequence++ });
        this.#entries.sort(compare);
    }

    /**
     * Returns the item that is served next without removing it.
     *
     * @param isEligible Returns whether an item may be served now; other items are skipped.
     * @returns The item, or undefined if none is eligible.
     */
    peek(isEligible: (item: Item) => boolean = () => true): Item | undefined {
        return this.#entries.find(({ item }) => isEligible(item))?.item;
    }

    /**
     * Removes the item that is served next and returns it.
     *
     * @param isEligible Returns whether an item may be served now; other items are skipped.
     * @returns The item, or undefined if none is eligible.
     */
    shift(isEligible: (item: Item) => boolean = () => true): Item | undefined {
        const index = this.#entries.findIndex(({ item }) => isEligible(item));
        const [entry] = index === -1 ? [] : this.#entries.splice(index, 1);
        if (entry) {
            this.#virtualTime = Math.max(this.#virtualTime, entry.finish - entry.item.cost / entry.item.weight);
        }
        if (this.#entries.length === 0) {
            this.#lastFinish.clear();
            this.#virtualTime = 0;
        }
        return entry?.item;
    }

    /**
     * Removes an item without serving it.
     *
     * @param item The item.
     */
    remove(item: Item): void {
        this.#entries = this.#entries.filter(entry => entry.item !== item);
    }
}

function compare<Item extends Waiter>(left: Entry<Item>, right: Entry<Item>): number {
    return right.item.priority - left.item.priority || left.finish - right.finish || left.sequence - right.sequence;
}
