import type { MemoryBudget, MemoryReservation } from "../memory/mod.ts";

/** Bytes that the system keeps of a connection which is not read, before it stops the sender. */
const RECEIVE_BUFFER_BYTES = 131_072;
/** Share of the memory of requests that connections which are held back leave to the requests of others. */
const OTHER_REQUESTS_SHARE = 0.3;

/** Memory of the input of one connection that belongs to no request: what waits, and what may arrive unread. */
export class InputMemory {
    #waiting: MemoryReservation | undefined;
    #unread: MemoryReservation | undefined;

    constructor(private readonly budget: MemoryBudget) {}

    /** Whether memory is held for so many bytes that wait. */
    coversWaiting(bytes: number): boolean {
        return this.#waiting !== undefined && this.#waiting.bytes >= bytes;
    }

    /** Holds memory for the bytes that wait, in place of what was held for them; returns whether there is room. */
    tryHoldWaiting(bytes: number): boolean {
        this.releaseWaiting();
        this.#waiting = this.budget.tryReserve(bytes, "request");
        return this.#waiting !== undefined;
    }

    /** Holds memory for what arrives while the connection is not read; returns whether there is room. */
    tryHoldUnread(): boolean {
        const otherBytes = this.budget.limit("request") * OTHER_REQUESTS_SHARE;
        if (!this.#unread && this.budget.hasRoom(RECEIVE_BUFFER_BYTES + otherBytes, "request")) {
            this.#unread = this.budget.tryReserve(RECEIVE_BUFFER_BYTES, "request");
        }
        return this.#unread !== undefined;
    }

    /** Releases the memory of the bytes that wait. */
    releaseWaiting(): void {
        this.#waiting?.close();
        this.#waiting = undefined;
    }

    /** Releases the memory of what arrives while the connection is not read. */
    releaseUnread(): void {
        this.#unread?.close();
        this.#unread = undefined;
    }
}
