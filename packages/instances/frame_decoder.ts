const LENGTH_BYTES = 4;

/** A message with the size of its frame. */
interface DecodedFrame {
    message: unknown;
    bytes: number;
}

/**
 * Splits a byte stream into frames.
 *
 * @example
 * ```ts
 * const decoder = new FrameDecoder(1_024);
 * decoder.push(encodeFrame({ a: 1 }))[0]?.message; // { a: 1 }
 * ```
 */
export class FrameDecoder {
    #chunks: Buffer[] = [];
    #length = 0;
    #wanted = LENGTH_BYTES;

    /**
     * @param maximumFrameBytes Longest frame accepted.
     */
    constructor(private readonly maximumFrameBytes: number) {}

    /**
     * Adds received bytes.
     *
     * @param chunk The bytes.
     * @returns The frames that are now complete.
     * @throws {Error} If a frame is too long or is not JSON; the stream cannot be used further.
     */
    push(chunk: Buffer): DecodedFrame[] {
        this.#chunks.push(chunk);
        this.#length += chunk.length;
        if (this.#length < this.#wanted) {
            return [];
        }
        let buffer = Buffer.concat(this.#chunks);
        const frames: DecodedFrame[] = [];
        this.#wanted = this.#needed(buffer);
        while (buffer.length >= this.#wanted) {
            frames.push(decode(buffer.subarray(0, this.#wanted)));
            buffer = buffer.subarray(this.#wanted);
            this.#wanted = this.#needed(buffer);
        }
        this.#chunks = [buffer];
        this.#length = buffer.length;
        return frames;
    }

    #needed(buffer: Buffer): number {
        if (buffer.length < LENGTH_BYTES) {
            return LENGTH_BYTES;
        }
        const length = buffer.readUInt32BE(0);
        if (length > this.maximumFrameBytes) {
            throw new Error(`Cannot read a frame of ${length} bytes: the limit is ${this.maximumFrameBytes}`);
        }
        return LENGTH_BYTES + length;
    }
}

function decode(frame: Buffer): DecodedFrame {
    const text = frame.toString("utf8", LENGTH_BYTES);
    try {
        return { message: JSON.parse(text), bytes: frame.length };
    }
    catch {
        throw new Error("Cannot parse a frame: it is not JSON");
    }
}
