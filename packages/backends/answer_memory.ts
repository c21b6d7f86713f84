import type { MemoryBudget, MemoryReservation } from "../memory/mod.ts";
import type { BodyMemory } from "./body_memory.ts";

/** Most bytes that one read of a connection to a server brings before it can be held back. */
const READ_BYTES = 65_536;

/**
 * Memory of the answers to one request. Before it is sent, the first read of its answer is reserved. Short answers fit into that
 * and into what the request holds for them; an answer beyond that is reserved as a whole, so that the other memory stays
 * free for the read that arrives while the answer waits.
 *
 * @example
 * ```ts
 * const answers = new AnswerMemory(budget, 8_192);
 * if (await answers.expect(signal)) {
 *     const body = await readResponseBody(response, 1_000, 65_536, answers);
 * }
 * answers.endSends();
 * answers.close();
 * ```
 */
export class AnswerMemory implements BodyMemory {
    #isClosed = false;
    /** Aborts the waits; undefined before the first. */
    #waits: AbortController | undefined;
    #heldBytes = 0;
    /** Bytes of the answer that were still to arrive when memory for it was asked for last. */
    #dueBytes = 0;
    /** The part of what is held that is reserved. */
    #reservedBytes = 0;
    readonly #reservations: MemoryReservation[] = [];
    readonly #firstReads: MemoryReservation[] = [];

    /**
     * @param budget The budget.
     * @param ownBytes Bytes of answers that the request's own memory has room for.
     * @param readBytes Most bytes of an answer that arrive before it can be held back. Default: one read of a connection.
     */
    constructor(
        private readonly budget: MemoryBudget,
        private readonly ownBytes: number,
        private readonly readBytes = READ_BYTES,
    ) {}

    /**
     * Reserves the first read of an answer once there is room.
     *
     * @param signal Aborts when the request is given up.
     * @returns Whether the request may be sent; false if the signal aborts first.
     */
    async expect(signal: AbortSignal): Promise<boolean> {
        return this.#addFirstRead(await this.budget.reserve(this.readBytes, "first-read", signal));
    }

    /**
     * Reserves the first read of an answer if there is room.
     *
     * @returns Whether there is; otherwise the request must not be sent to another server.
     */
    tryExpect(): boolean {
        return this.#addFirstRead(this.budget.tryReserve(this.readBytes, "first-read"));
    }

    /** Releases what is reserved for first reads and not used. To be called once nothing more is read. */
    endSends(): void {
        let unreserved = Math.max(0, this.#heldBytes - this.#reservedBytes - this.ownBytes);
        for (const firstRead of this.#firstReads) {
            firstRead.keep(unreserved, "answer");
            unreserved -= firstRead.bytes;
        }
    }

    /** @inheritdoc */
    tryHold(bytes: number, dueBytes = 0): boolean {
        const missing = this.#missingBytes(bytes, dueBytes);
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
        const missing = this.#missingBytes(bytes, this.#dueBytes);
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
            this.#firstReads.forEach(firstRead => firstRead.close());
        }
    }

    #addFirstRead(firstRead: MemoryReservation | undefined): boolean {
        if (!firstRead || this.#isClosed) {
            firstRead?.close();
            return false;
        }
        this.#firstReads.push(firstRead);
        return true;
    }

    /** Bytes that are to be reserved for an answer; all of it once it is known not to fit into what needs no reservation. */
    #missingBytes(bytes: number, dueBytes: number): number {
        this.#dueBytes = dueBytes;
        const total = this.#heldBytes + bytes;
        const unreservedBytes = this.ownBytes + this.#firstReads.length * this.readBytes;
        const isShort = total <= this.ownBytes || total + dueBytes <= unreservedBytes;
        return isShort ? 0 : total - this.#reservedBytes;
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
