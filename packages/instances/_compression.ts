import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Longest message that is compressed. Longer messages are rare and need no dictionary. */
const MAXIMUM_COMPRESSED_CHARACTERS = 4_096;
const WINDOW_BITS = 12;
const DEFLATE_OPTIONS = { level: 9, windowBits: WINDOW_BITS, memLevel: 5 };

/**
 * Preset dictionary: fragments of the common messages. Matches near its end are encoded in the fewest bits. Each change
 * needs a new format number in `_frame_format.ts`, because both sides must use the same dictionary.
 */
const DICTIONARY = Buffer.from([
    '{"jsonrpc":"2.0","id":9,"result":{"epoch":17,"version":1234,"age":250}}',
    '{"jsonrpc":"2.0","id":9,"method":"fleet.heartbeat","params":{"epoch":17,"version":',
    '{"jsonrpc":"2.0","id":9,"method":"once.begin","params":{"key":"',
    '","attempt":"instance-","fingerprint":"',
    '{"jsonrpc":"2.0","id":9,"method":"once.finish","params":{"key":"',
    '","state":"finished","answer":{"status":200,"headers":{"content-type":"application/json"',
    '{"jsonrpc":"2.0","id":9,"result":{"kind":"begun"}}',
    '{"jsonrpc":"2.0","id":9,"result":["instance-',
    '{"jsonrpc":"2.0","id":9,"method":"requests.held","params":{"ids":["instance-',
    '{"jsonrpc":"2.0","id":2,"result":{"active":true,"granted":1,"level":',
    '{"jsonrpc":"2.0","id":2,"result":{"granted":false,"why":"full","free":0,"waiting":',
    '{"jsonrpc":"2.0","id":2,"result":{"granted":true,"free":17,"waiting":0}}',
    '{"jsonrpc":"2.0","method":"limits.settle","params":{"organisation":"organisation-',
    '{"jsonrpc":"2.0","method":"servers.release","params":{"server":"prefill-',
    '","outcome":"unused"}}","outcome":"done"}}',
    '{"jsonrpc":"2.0","id":1,"method":"limits.charge","params":{"organisation":"organisation-1","index":0,',
    '"id":"instance-","amount":1234,"partial":false}}',
    '{"jsonrpc":"2.0","id":2,"method":"servers.reserve","params":{"server":"decode-","id":"instance-',
    '","organisation":"organisation-","pieces":1,"priority":5,"suspect":false,"waitMilliseconds":0}}',
].join(""));

/** Compression of short messages with a preset dictionary that both sides share. */
export const compression = {
    /** Compresses a message; returns undefined if it is too long or does not become shorter. */
    compress(text: Buffer): Buffer | undefined {
        if (text.length > MAXIMUM_COMPRESSED_CHARACTERS) {
            return undefined;
        }
        const compressed = deflateRawSync(text, { ...DEFLATE_OPTIONS, dictionary: DICTIONARY });
        return compressed.length < text.length ? compressed : undefined;
    },

    /** Decompresses a message; throws if it is malformed or longer than the longest compressed message. */
    decompress(bytes: Buffer): Buffer {
        return inflateRawSync(bytes, {
            windowBits: WINDOW_BITS,
            dictionary: DICTIONARY,
            maxOutputLength: MAXIMUM_COMPRESSED_CHARACTERS,
        });
    },
};
