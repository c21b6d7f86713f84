/** Layout of a frame: one byte for the format, three for the length, most significant first, then the payload. */
export const frameFormat = {
    headerBytes: 4,
    /** Largest length that three bytes hold. */
    maximumPayloadBytes: 0xff_ff_ff,
    /** The payload is JSON text. */
    plain: 0,
    /** The payload is JSON text compressed with the first dictionary. */
    compressed: 1,
};
