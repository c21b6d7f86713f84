import type { MemoryReservation } from "./memory_reservation.ts";
import type { MemoryUse } from "./memory_use.ts";

/** Shares of the capacity that uses may hold, so that each leaves room for the others; answers include their first reads. */
const SHARES: Record<MemoryUse, number> = { request: 0.7, answer: 0.8, "first-read": 0.3 };
/** Share of the capacity that first reads may hold beyond it, so that some calls are under way however much is held. */
const FIRST_READ_SHARE_BEYOND = 0.02;

/** A call that waits for memory. */
interface MemoryWaiter {
    bytes: number;
    use: MemoryUse;
    mayOverdraw: boolean;
    resolve: (reservation: MemoryReservation) => void;
}

/**
 * Budget of the memory that requests and answers hold in one process. What does not fit is refused at once or waits
 * outside the process, so that the process neither exceeds its memory limit nor fills its heap.
 *
 * @example
 * ```ts
 * const budget = new MemoryBudget(50_000_000);
 * const reservation = budget.tryReserve(60_000, "request");
 * reservation?.close();
 * ```
 */
export class MemoryBudget {
    readonly #used: Record<MemoryUse, number> = { request: 0, answer: 0, "first-read": 0 };
    readonly #waiters: MemoryWaiter[] = [];
    /** Those who wait for first reads, before they begin; they come after all who hold something already. */
    readonly #beginners: MemoryWaiter[] = [];
    #overdrawn = false;
    #firstReadBytesBeyond = 0;

    /**
     * @param capacityBytes Memory in bytes that may be held at once.
     */
    constructor(readonly capacityBytes: number) {}

    /** Memory in bytes that is held. */
    get usedBytes(): number {
        return this.#used.request + this.#answerBytes;
    }

    /**
     * Tells how much a use may hold when nothing else is held.
     *
     * @param use What the memory is for.
     * @returns The limit in bytes.
     */
    limit(use: MemoryUse): number {
        return this.capacityBytes * SHARES[use];
    }

    /**
     * Tells whether memory could be reserved now.
     *
     * @param bytes Size in bytes.
     * @param use What the memory is for.
     * @returns Whether there is room.
     */
    hasRoom(bytes: number, use: MemoryUse): boolean {
        const held = use === "answer" ? this.#answerBytes : this.#used[use];
        const fits = this.usedBytes + bytes <= this.capacityBytes && held + bytes <= this.limit(use);
        return fits && (use !== "first-read" || this.#answerBytes + bytes <= this.limit("answer"));
    }

    /**
     * Reserves memory if there is room.
     *
     * @param bytes Size in bytes.
     * @param use What the memory is for.
     * @returns The reservation; undefined if there is no room.
     */
    tryReserve(bytes: number, use: MemoryUse): MemoryReservation | undefined {
        if (use === "first-read") {
            return this.#beginners.length === 0 ? this.#tryBegin(bytes) : undefined;
        }
        return this.hasRoom(bytes, use) ? this.#reserve(bytes, use) : undefined;
    }

    /**
     * Reserves memory once there is room, in the order of the calls; those for first reads come last, and some of them get it
     * however much is held.
     *
     * @param bytes Size in bytes.
     * @param use What the memory is for.
     * @param signal Aborts when the memory is no longer needed.
     * @param options How it may exceed the capacity.
     * @param options.mayOverdraw Whether the first of the waiters gets memory beyond the capacity, and any growth of it,
     *     if no other reservation does so. Waiters that hold memory need it, or they could wait for each other. Default:
     *     false.
     * @returns The reservation; undefined if the signal aborts first, or if the size exceeds the limit of its use and may
     *     not.
     */
    async reserve(
        bytes: number,
        use: MemoryUse,
        signal: AbortSignal,
        { mayOverdraw = false } = {},
    ): Promise<MemoryReservation | undefined> {
        const isBeginner = use === "first-read";
        if (signal.aborted || (bytes > this.limit(use) && !mayOverdraw && !isBeginner)) {
            return undefined;
        }
        const queue = isBeginner ? this.#beginners : this.#waiters;
        const reservation = queue.length === 0 ? this.tryReserve(bytes, use) : undefined;
        if (reservation) {
            return reservation;
        }
        return await new Promise(resolve => {
            const waiter = { bytes, use, mayOverdraw, resolve };
            queue.push(waiter);
            this.#wake();
            signal.addEventListener("abort", () => {
                const index = queue.indexOf(waiter);
                if (index >= 0) {
                    queue.splice(index, 1);
                    resolve(undefined);
                    this.#wake();
                }
            }, { once: true });
        });
    }

    /** Bytes of answers, with their first reads. */
    get #answerBytes(): number {
        return this.#used.answer + this.#used["first-read"];
    }

    /** Reserves a first read if there is room for it that nobody waits for, or if few of them are beyond the capacity. */
    #tryBegin(bytes: number): MemoryReservation | undefined {
        if (this.#waiters.length === 0 && this.hasRoom(bytes, "first-read")) {
            return this.#reserve(bytes, "first-read");
        }
        const beyond = this.#firstReadBytesBeyond;
        const mayBegin = beyond === 0 || beyond + bytes <= this.capacityBytes * FIRST_READ_SHARE_BEYOND;
        return mayBegin ? this.#reserve(bytes, "first-read", true) : undefined;
    }

    #reserve(size: number, firstUse: MemoryUse, isBeyond = false): MemoryReservation {
        let held = 0;
        let use = firstUse;
        let closed = false;
        const overdraws = isBeyond && firstUse !== "first-read";
        const change = (bytes: number) => {
            held += bytes;
            this.#used[use] += bytes;
            this.#firstReadBytesBeyond += isBeyond && use === "first-read" ? bytes : 0;
        };
        change(size);
        return {
            get bytes() {
                return held;
            },
            tryGrow: bytes => {
                if (closed || !(overdraws || this.hasRoom(bytes, use))) {
                    return false;
                }
                change(bytes);
                return true;
            },
            keep: (bytes, nextUse) => {
                const kept = Math.min(bytes, held);
                change(-held);
                // What is beyond the capacity would not be bounded under another use.
                use = isBeyond ? use : nextUse;
                change(kept);
                this.#wake();
            },
            close: () => {
                if (!closed) {
                    closed = true;
                    change(-held);
                    this.#overdrawn &&= !overdraws;
                    this.#wake();
                }
            },
        };
    }

    /** Serves the waiters in their order, as far as there is room. */
    #wake(): void {
        for (let next = this.#waiters[0]; next; next = this.#waiters[0]) {
            const overdraws = !this.hasRoom(next.bytes, next.use);
            if (overdraws && (this.#overdrawn || !next.mayOverdraw)) {
                break;
            }
            this.#overdrawn ||= overdraws;
            this.#waiters.shift();
            next.resolve(this.#reserve(next.bytes, next.use, overdraws));
        }
        for (let next = this.#beginners[0]; next; next = this.#beginners[0]) {
            const reservation = this.#tryBegin(next.bytes);
            if (!reservation) {
                break;
            }
            this.#beginners.shift();
            next.resolve(reservation);
        }
    }
}
