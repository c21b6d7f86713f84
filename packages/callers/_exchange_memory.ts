import type { IncomingMessage } from "node:http";
import { AnswerMemory } from "../backends/mod.ts";
import { type MemoryBudget, type MemoryReservation, tryReserveInstead } from "../memory/mod.ts";

/** Memory of a request, its response and the call to a server, beside headers, body and answer. */
const REQUEST_OVERHEAD_BYTES = 32 * 1_024;
/** Headers are held as received, by name and in the call to a server. */
const HEADER_COPIES = 3;

/** Memory that one request and its answer hold in the process. */
export class ExchangeMemory {
    readonly #answers: MemoryReservation[] = [];
    /** Memory of services' answers. */
    readonly serviceAnswers: AnswerMemory;

    private constructor(private readonly budget: MemoryBudget, private readonly request: MemoryReservation) {
        this.serviceAnswers = new AnswerMemory(budget, 0);
    }

    /** Size in bytes that a request takes besides its body. */
    static overheadBytes(request: IncomingMessage): number {
        const headerCharacters = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
        return REQUEST_OVERHEAD_BYTES + HEADER_COPIES * headerCharacters;
    }

    /** Whether a request without headers and body could be accepted now. */
    static hasRoom(budget: MemoryBudget): boolean {
        return budget.hasRoom(REQUEST_OVERHEAD_BYTES, "request");
    }

    /** Reserves memory for a request, with what its head has held while it arrived; undefined if there is no room. */
    static tryCreate(budget: MemoryBudget, bytes: number, held?: MemoryReservation): ExchangeMemory | undefined {
        const reservation = tryReserveInstead(budget, held, bytes, "request");
        return reservation && new ExchangeMemory(budget, reservation);
    }

    /** Reserves more memory for the request if there is room. */
    tryGrowRequest(bytes: number): boolean {
        return this.request.tryGrow(bytes);
    }

    /** Reserves memory for a part of the answer once there is room; returns false if the signal aborts first. */
    async reserveAnswer(bytes: number, signal: AbortSignal): Promise<boolean> {
        const [reservation] = this.#answers;
        if (reservation?.tryGrow(bytes)) {
            return true;
        }
        const added = await this.budget.reserve(bytes, "answer", signal);
        if (added) {
            this.#answers.push(added);
        }
        return added !== undefined;
    }

    /** Releases everything. */
    close(): void {
        this.request.close();
        this.serviceAnswers.close();
        this.#answers.forEach(reservation => reservation.close());
    }
}
