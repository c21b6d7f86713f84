/** Layout of a frame: one byte of format, three bytes of payload length in big-endian order, then the payload. */
export const frameFormat = {
    headerBytes: 4,
    /** Largest length that fits in three bytes. */
    maximumPayloadBytes: 0xff_ff_ff,
    /** The payload is JSON text. */
    plain: 0,
    /** The payload is JSON text compressed with the dictionary of `_compression.ts`. */
    compressed: 1,
};
