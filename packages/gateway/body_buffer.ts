import type { RequestMemory } from "./request_memory.ts";

/** Size in bytes of the first buffer of a body without a declared length. */
const FIRST_CAPACITY_BYTES = 1_024;
const GROWTH = 2;

/**
 * A body that arrives in pieces, copied into one buffer. Pieces that are kept each take an object and keep the read that
 * they are a part of, which may be a hundred times their size.
 *
 * @example
 * ```ts
 * const body = new BodyBuffer(memory, 1_048_576, undefined);
 * body.tryAppend(chunk);
 * body.bytes;
 * ```
 */
export class BodyBuffer {
    #buffer = Buffer.alloc(0);
    #length = 0;

    /**
     * @param memory Memory of the request, which grows with the buffer.
     * @param maximumBytes Largest size of the body.
     * @param declaredBytes Its declared size; undefined if there is none.
     */
    constructor(
        private readonly memory: RequestMemory,
        private readonly maximumBytes: number,
        private readonly declaredBytes: number | undefined,
    ) {}

    /** What has been appended. */
    get bytes(): Buffer {
        return this.#buffer.subarray(0, this.#length);
    }

    /**
     * Appends a copy of a piece.
     *
     * @param piece The piece; with it the body must not exceed its largest size.
     * @returns Whether there was memory for it; otherwise the body is unchanged.
     */
    tryAppend(piece: Buffer): boolean {
        const length = this.#length + piece.length;
        if (length > this.#buffer.length && !this.#tryGrow(length)) {
            return false;
        }
        piece.copy(this.#buffer, this.#length);
        this.#length = length;
        return true;
    }

    /** Drops what has been appended. */
    clear(): void {
        this.#buffer = Buffer.alloc(0);
        this.#length = 0;
    }

    #tryGrow(length: number): boolean {
        const wanted = this.declaredBytes ?? Math.max(FIRST_CAPACITY_BYTES, this.#buffer.length * GROWTH);
        const capacity = Math.max(length, Math.min(wanted, this.maximumBytes));
        if (!this.memory.tryHoldBody(capacity)) {
            return false;
        }
        // Not from the pool, of which a small body would keep a whole part.
        const grown = Buffer.allocUnsafeSlow(capacity);
        this.#buffer.copy(grown, 0, 0, this.#length);
        this.#buffer = grown;
        return true;
    }
}
