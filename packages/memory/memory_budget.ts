import type { MemoryReservation } from "./memory_reservation.ts";
import type { MemoryUse } from "./memory_use.ts";

/** Share of the capacity that requests may hold, so that the answers to those accepted have room. */
const REQUEST_SHARE = 0.7;
/** Share of the capacity that answers may hold, so that those that are not read leave room for other requests. */
const ANSWER_SHARE = 0.8;

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
    readonly #used: Record<MemoryUse, number> = { request: 0, answer: 0 };
    readonly #waiters: MemoryWaiter[] = [];
    #overdrawn = false;

    /**
     * @param capacityBytes Memory in bytes that may be held at once.
     */
    constructor(readonly capacityBytes: number) {}

    /** Memory in bytes that is held. */
    get usedBytes(): number {
        return this.#used.request + this.#used.answer;
    }

    /**
     * Tells how much a use may hold when nothing else is held.
     *
     * @param use What the memory is for.
     * @returns The limit in bytes.
     */
    limit(use: MemoryUse): number {
        return this.capacityBytes * (use === "request" ? REQUEST_SHARE : ANSWER_SHARE);
    }

    /**
     * Tells whether memory could be reserved now.
     *
     * @param bytes Size in bytes.
     * @param use What the memory is for.
     * @returns Whether there is room.
     */
    hasRoom(bytes: number, use: MemoryUse): boolean {
        return this.usedBytes + bytes <= this.capacityBytes && this.#used[use] + bytes <= this.limit(use);
    }

    /**
     * Reserves memory if there is room.
     *
     * @param bytes Size in bytes.
     * @param use What the memory is for.
     * @returns The reservation; undefined if there is no room.
     */
    tryReserve(bytes: number, use: MemoryUse): MemoryReservation | undefined {
        return this.hasRoom(bytes, use) ? this.#reserve(bytes, use) : undefined;
    }

    /**
     * Reserves memory once there is room, in the order of the calls.
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
        if (signal.aborted || (bytes > this.limit(use) && !mayOverdraw)) {
            return undefined;
        }
        const reservation = this.#waiters.length === 0 ? this.tryReserve(bytes, use) : undefined;
        if (reservation) {
            return reservation;
        }
        return await new Promise(resolve => {
            const waiter = { bytes, use, mayOverdraw, resolve };
            this.#waiters.push(waiter);
            this.#wake();
            signal.addEventListener("abort", () => {
                const index = this.#waiters.indexOf(waiter);
                if (index >= 0) {
                    this.#waiters.splice(index, 1);
                    resolve(undefined);
                    this.#wake();
                }
            }, { once: true });
        });
    }

    #reserve(size: number, use: MemoryUse, overdraws = false): MemoryReservation {
        let held = size;
        let closed = false;
        this.#used[use] += size;
        return {
            get bytes() {
                return held;
            },
            tryGrow: bytes => {
                if (closed || !(overdraws || this.hasRoom(bytes, use))) {
                    return false;
                }
                held += bytes;
                this.#used[use] += bytes;
                return true;
            },
            close: () => {
                if (!closed) {
                    closed = true;
                    this.#used[use] -= held;
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
                return;
            }
            this.#overdrawn ||= overdraws;
            this.#waiters.shift();
            next.resolve(this.#reserve(next.bytes, next.use, overdraws));
        }
    }
}
