import { compression } from "./_compression.ts";
import { frameFormat } from "./_frame_format.ts";

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
    #requiredBytes = frameFormat.headerBytes;

    /**
     * @param maximumFrameBytes Longest payload accepted, in bytes.
     */
    constructor(private readonly maximumFrameBytes: number) {}

    /**
     * Adds received bytes.
     *
     * @param chunk The bytes.
     * @returns The frames that these bytes complete.
     * @throws {Error} If a frame is too long or malformed; the decoder cannot be used afterwards.
     */
    push(chunk: Buffer): DecodedFrame[] {
        this.#chunks.push(chunk);
        this.#length += chunk.length;
        if (this.#length < this.#requiredBytes) {
            return [];
        }
        let buffer = Buffer.concat(this.#chunks);
        const frames: DecodedFrame[] = [];
        this.#requiredBytes = this.#computeRequiredBytes(buffer);
        while (buffer.length >= this.#requiredBytes) {
            frames.push(decodeFrame(buffer.subarray(0, this.#requiredBytes)));
            buffer = buffer.subarray(this.#requiredBytes);
            this.#requiredBytes = this.#computeRequiredBytes(buffer);
        }
        this.#chunks = [buffer];
        this.#length = buffer.length;
        return frames;
    }

    #computeRequiredBytes(buffer: Buffer): number {
        if (buffer.length < frameFormat.headerBytes) {
            return frameFormat.headerBytes;
        }
        const length = buffer.readUInt32BE(0) & frameFormat.maximumPayloadBytes;
        if (length > this.maximumFrameBytes) {
            throw new Error(`Cannot read a frame of ${length} bytes: the limit is ${this.maximumFrameBytes}`);
        }
        return frameFormat.headerBytes + length;
    }
}

function decodeFrame(frame: Buffer): DecodedFrame {
    const payload = frame.subarray(frameFormat.headerBytes);
    try {
        const text = decodePayload(frame.readUInt8(0), payload);
        return { message: JSON.parse(text.toString("utf8")), bytes: frame.length };
    }
    catch (error) {
        throw new Error(`Cannot parse a frame: ${error instanceof Error ? error.message : String(error)}`);
    }
}

function decodePayload(format: number, payload: Buffer): Buffer {
    switch (format) {
        case frameFormat.plain:
            return payload;
        case frameFormat.compressed:
            return compression.decompress(payload);
        default:
            throw new Error(`format ${format} is not known`);
    }
}
