const LENGTH_BYTES = 4;

/**
 * Encodes a message as a frame: its length as four bytes, most significant first, then its JSON text.
 *
 * @param message The message.
 * @returns The frame.
 * @example
 * ```ts
 * encodeFrame({}).length; // 6
 * ```
 */
export function encodeFrame(message: unknown): Buffer {
    const text = JSON.stringify(message);
    const length = Buffer.byteLength(text);
    const frame = Buffer.allocUnsafe(LENGTH_BYTES + length);
    frame.writeUInt32BE(length, 0);
    frame.write(text, LENGTH_BYTES);
    return frame;
}
