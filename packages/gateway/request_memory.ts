import { AnswerMemory, type BodyMemory } from "../backends/mod.ts";
import { type MemoryBudget, type MemoryReservation, tryReserveInstead } from "../memory/mod.ts";

/** Bytes of answers that each request may hold besides, so that short ones never wait for those that are not read. */
const SHORT_ANSWER_BYTES = 8_192;
/** Memory in bytes of a request without its head and body: objects, timers, its connection to a server and a short answer. */
const REQUEST_OVERHEAD_BYTES = 16_384 + SHORT_ANSWER_BYTES;

/**
 * Memory that one request holds, with its head, its body and the answers to it, until its response has ended.
 *
 * @example
 * ```ts
 * const memory = RequestMemory.tryOpen(budget, 1_000, 3_000);
 * response.on("close", () => memory?.close());
 * ```
 */
export class RequestMemory implements BodyMemory {
    /** Memory of the answers of plain servers beyond short ones. */
    readonly answers: AnswerMemory;

    private constructor(
        private readonly budget: MemoryBudget,
        private readonly request: MemoryReservation,
        private readonly headBytes: number,
    ) {
        this.answers = new AnswerMemory(budget, SHORT_ANSWER_BYTES);
    }

    /**
     * Tells whether a request can be accepted when no other one is under way.
     *
     * @param budget The budget.
     * @param headBytes Memory of its head in bytes.
     * @param bodyBytes Declared size of its body in bytes.
     * @returns Whether it fits.
     */
    static canEverFit(budget: MemoryBudget, headBytes: number, bodyBytes: number): boolean {
        return REQUEST_OVERHEAD_BYTES + headBytes + bodyBytes <= budget.limit("request");
    }

    /**
     * Tells whether a request without a body could be accepted now.
     *
     * @param budget The budget.
     * @returns Whether there is room.
     */
    static hasRoom(budget: MemoryBudget): boolean {
        return budget.hasRoom(REQUEST_OVERHEAD_BYTES, "request");
    }

    /**
     * Reserves memory for a request if there is room.
     *
     * @param budget The budget.
     * @param headBytes Memory of its head in bytes.
     * @param bodyBytes Declared size of its body in bytes; 0 if it declares none.
     * @param held Memory that its head has taken while it arrived, which becomes part of it or is released.
     * @returns The memory; undefined if there is no room.
     */
    static tryOpen(
        budget: MemoryBudget,
        headBytes: number,
        bodyBytes: number,
        held?: MemoryReservation,
    ): RequestMemory | undefined {
        const bytes = REQUEST_OVERHEAD_BYTES + headBytes + bodyBytes;
        const reservation = tryReserveInstead(budget, held, bytes, "request");
        return reservation && new RequestMemory(budget, reservation, headBytes);
    }

    /**
     * Makes room for a body, whose size may not have been declared.
     *
     * @param bytes Size of what has arrived in bytes.
     * @returns Whether it has room.
     */
    tryHoldBody(bytes: number): boolean {
        const missing = REQUEST_OVERHEAD_BYTES + this.headBytes + bytes - this.request.bytes;
        return missing <= 0 || this.request.tryGrow(missing);
    }

    /** Whether there is room for another request without a body. */
    get leavesRoom(): boolean {
        return RequestMemory.hasRoom(this.budget);
    }

    /** @inheritdoc */
    tryHold(bytes: number, dueBytes?: number): boolean {
        return this.answers.tryHold(bytes, dueBytes);
    }

    /** @inheritdoc */
    hold(bytes: number): Promise<boolean> {
        return this.answers.hold(bytes);
    }

    /** Releases all of it. Further calls do nothing. */
    close(): void {
        this.request.close();
        this.answers.close();
    }
}
