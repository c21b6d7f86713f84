import { estimateHeadMemory, type MemoryBudget, type MemoryReservation } from "../memory/mod.ts";
import { findBlankLine } from "./_find_blank_line.ts";
import type { InputRefusal } from "./input_refusal.ts";

/** Bytes of a piece that may be the first ones of the end of a head. */
const TAIL_BYTES = 2;
const LINE_END = 10;
const CARRIAGE_RETURN = 13;
const EMPTY = Buffer.alloc(0);

/** The head of a request, while it arrives in pieces. The parser keeps them, so they take memory. */
export class IncompleteHead {
    /** Last bytes of the pieces, which may be the first ones of the head's end. */
    #tail: Buffer = EMPTY;
    #bytes = 0;
    #firstLineBytes = 0;
    #lines = 0;
    #memory: MemoryReservation | undefined;

    constructor(private readonly budget: MemoryBudget) {}

    /** Whether pieces without an end have arrived. */
    get isArriving(): boolean {
        return this.#bytes > 0;
    }

    /**
     * Place behind the end of the head, or of a chunked body, in a further piece; undefined if it has not arrived. The parser
     * ignores empty lines before a head (RFC 9112, section 2.2), so they are part of it, or end by themselves.
     */
    findEnd(piece: Buffer, isBody: boolean): number | undefined {
        if (!isBody && this.#bytes === 0) {
            const begin = countEmptyLines(piece);
            const end = begin === piece.length ? 0 : findBlankLine(piece.subarray(begin));
            return end === undefined ? undefined : begin + end;
        }
        if (this.#tail.length > 0) {
            const overlap = Buffer.concat([this.#tail, piece.subarray(0, TAIL_BYTES)]);
            const end = findBlankLine(overlap);
            if (end !== undefined && end > this.#tail.length) {
                return end - this.#tail.length;
            }
        }
        return findBlankLine(piece);
    }

    /** Remembers a piece without an end. */
    remember(piece: Buffer): void {
        this.#tail = Buffer.concat([this.#tail, piece.subarray(-TAIL_BYTES)]).subarray(-TAIL_BYTES);
    }

    /** Reserves memory for a piece without an end; returns why it can't be accepted. */
    tryHold(piece: Buffer, maximumBytes: number): InputRefusal | undefined {
        const linesBefore = this.#lines;
        for (let end = piece.indexOf(LINE_END); end >= 0; end = piece.indexOf(LINE_END, end + 1)) {
            this.#firstLineBytes ||= this.#bytes + end + 1;
            this.#lines++;
        }
        this.#bytes += piece.length;
        // The limit is for the fields, without the request line.
        if (this.#lines > 0 && this.#bytes - this.#firstLineBytes > maximumBytes) {
            return "head-too-large";
        }
        const bytes = estimateHeadMemory(piece.length, this.#lines - linesBefore);
        if (this.#memory) {
            return this.#memory.tryGrow(bytes) ? undefined : "memory-full";
        }
        this.#memory = this.budget.tryReserve(bytes, "request");
        return this.#memory ? undefined : "memory-full";
    }

    /** Hands its memory over to the request that it has become. */
    takeMemory(): MemoryReservation | undefined {
        const memory = this.#memory;
        this.#memory = undefined;
        return memory;
    }

    /** Releases its memory and makes room for the next head. */
    end(): void {
        this.#memory?.close();
        this.#memory = undefined;
        this.#tail = EMPTY;
        this.#bytes = 0;
        this.#firstLineBytes = 0;
        this.#lines = 0;
    }
}

/** Counts the bytes of the empty lines at the beginning. */
function countEmptyLines(bytes: Buffer): number {
    let index = 0;
    while (bytes[index] === LINE_END || bytes[index] === CARRIAGE_RETURN) {
        index++;
    }
    return index;
}
