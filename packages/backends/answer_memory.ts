import type { MemoryBudget, MemoryReservation } from "../memory/mod.ts";
import type { BodyMemory } from "./body_memory.ts";

/**
 * Memory of the answers to one request. Short ones fit into what the request holds for them; an answer beyond that is
 * reserved as a whole, so that the request's own memory stays free for the read that arrives while the answer waits.
 *
 * @example
 * ```ts
 * const answers = new AnswerMemory(budget, 8_192);
 * const body = await readResponseBody(response, 1_000, 65_536, answers);
 * answers.close();
 * ```
 */
export class AnswerMemory implements BodyMemory {
    #isClosed = false;
    /** Aborts the waits; undefined before the first. */
    #waits: AbortController | undefined;
    #heldBytes = 0;
    /** The part of what is held that is reserved. */
    #reservedBytes = 0;
    readonly #reservations: MemoryReservation[] = [];

    /**
     * @param budget The budget.
     * @param ownBytes Bytes of answers that the request's own memory has room for.
     */
    constructor(private readonly budget: MemoryBudget, private ownBytes: number) {}

    /**
     * Adds to what the request's own memory has room for.
     *
     * @param bytes Further bytes.
     */
    addOwn(bytes: number): void {
        this.ownBytes += bytes;
    }

    /** @inheritdoc */
    tryHold(bytes: number): boolean {
        const missing = this.#missingBytes(bytes);
        if (missing > 0 && !this.#tryReserve(missing)) {
            return false;
        }
        this.#heldBytes += bytes;
        this.#reservedBytes += missing;
        return true;
    }

    /** @inheritdoc */
    async hold(bytes: number): Promise<boolean> {
        if (this.#isClosed) {
            return false;
        }
        this.#waits ??= new AbortController();
        const { signal } = this.#waits;
        const missing = this.#missingBytes(bytes);
        this.#heldBytes += bytes;
        this.#reservedBytes += missing;
        const reservation = await this.budget.reserve(missing, "answer", signal, { mayOverdraw: true });
        if (reservation && signal.aborted) {
            reservation.close();
            return false;
        }
        if (reservation) {
            this.#reservations.push(reservation);
        }
        return reservation !== undefined;
    }

    /** Releases all of it. Further calls do nothing. */
    close(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#waits?.abort();
            this.#reservations.forEach(reservation => reservation.close());
        }
    }

    #missingBytes(bytes: number): number {
        const total = this.#heldBytes + bytes;
        return total <= this.ownBytes ? 0 : total - this.#reservedBytes;
    }

    #tryReserve(bytes: number): boolean {
        const last = this.#reservations.at(-1);
        if (last || this.#isClosed) {
            return last?.tryGrow(bytes) ?? false;
        }
        const reservation = this.budget.tryReserve(bytes, "answer");
        if (reservation) {
            this.#reservations.push(reservation);
        }
        return reservation !== undefined;
    }
}
