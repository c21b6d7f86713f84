import { compression } from "./_compression.ts";
import { frameFormat } from "./_frame_format.ts";

/**
 * Encodes a message as a frame.
 *
 * @param message The message.
 * @param compress Whether a short message is compressed, which trades processor time for bytes.
 * @returns The frame.
 * @throws {RangeError} If the encoded message takes 16 MiB or more.
 * @example
 * ```ts
 * encodeFrame({}).length; // 6
 * ```
 */
export function encodeFrame(message: unknown, compress = true): Buffer {
    const text = Buffer.from(JSON.stringify(message));
    const compressed = compress ? compression.compress(text) : undefined;
    const payload = compressed ?? text;
    if (payload.length > frameFormat.maximumPayloadBytes) {
        throw new RangeError(`Cannot encode a frame of ${payload.length} bytes`);
    }
    const frame = Buffer.allocUnsafe(frameFormat.headerBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    frame.writeUInt8(compressed ? frameFormat.compressed : frameFormat.plain, 0);
    payload.copy(frame, frameFormat.headerBytes);
    return frame;
}
