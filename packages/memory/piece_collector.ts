/** Pieces from this size in bytes on are kept as they are; what holds them is small beside them. */
const LEAST_KEPT_BYTES = 4_096;
const FIRST_BLOCK_BYTES = 1_024;
const LARGEST_BLOCK_BYTES = 65_536;
const GROWTH = 2;

/**
 * Collects a body that arrives in pieces. Small pieces are copied into blocks, since each that is kept takes an object and
 * a buffer of its own, which may be a hundred times its size.
 *
 * @example
 * ```ts
 * const body = new PieceCollector();
 * body.append(Buffer.from("a"));
 * body.append(Buffer.from("b"));
 * body.concat().toString(); // "ab"
 * ```
 */
export class PieceCollector {
    readonly #whole: Buffer[] = [];
    #block = Buffer.alloc(0);
    /** Bytes of the block that are in use. */
    #blockBytes = 0;
    /** Size of the next block. */
    #nextBlockBytes = FIRST_BLOCK_BYTES;
    #length = 0;

    /** Number of bytes that have been appended. */
    get length(): number {
        return this.#length;
    }

    /**
     * Appends a piece.
     *
     * @param piece The piece, which must not be changed afterwards.
     */
    append(piece: Buffer): void {
        this.#length += piece.length;
        if (piece.length >= LEAST_KEPT_BYTES) {
            this.#endBlock();
            this.#whole.push(piece);
            return;
        }
        if (this.#blockBytes + piece.length > this.#block.length) {
            this.#endBlock();
            // Not from the pool, of which a small body would keep a whole part.
            this.#block = Buffer.allocUnsafeSlow(Math.max(this.#nextBlockBytes, piece.length));
            this.#nextBlockBytes = Math.min(LARGEST_BLOCK_BYTES, this.#nextBlockBytes * GROWTH);
        }
        this.#blockBytes += piece.copy(this.#block, this.#blockBytes);
    }

    /**
     * Hands over what has been appended without a copy of large pieces, and drops it.
     *
     * @returns All bytes, in their order.
     */
    take(): Buffer[] {
        this.#endBlock();
        const taken = [...this.#whole];
        this.clear();
        return taken;
    }

    /**
     * Joins the pieces and drops them.
     *
     * @returns All bytes in one buffer.
     */
    concat(): Buffer {
        this.#endBlock();
        const joined = Buffer.concat(this.#whole, this.#length);
        this.clear();
        return joined;
    }

    /** Drops what has been appended. */
    clear(): void {
        this.#whole.length = 0;
        this.#block = Buffer.alloc(0);
        this.#blockBytes = 0;
        this.#nextBlockBytes = FIRST_BLOCK_BYTES;
        this.#length = 0;
    }

    /** Begins another block, with the rest of the present one. */
    #endBlock(): void {
        if (this.#blockBytes > 0) {
            this.#whole.push(this.#block.subarray(0, this.#blockBytes));
            this.#block = this.#block.subarray(this.#blockBytes);
            this.#blockBytes = 0;
        }
    }
}
