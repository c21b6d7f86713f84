const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
const LINE_END_BYTES = 2;
/** Digits of a size, beyond which the parser alone judges it. */
const MAXIMUM_SIZE_DIGITS = 8;
const HEXADECIMAL = 16;
/** Bytes from which a block is moved by one call. */
const BLOCK_BYTES = 64;
/** Values of the hexadecimal digits by their codes; -1 for other bytes. */
const DIGIT_VALUES = Int8Array.from({ length: 256 }, (_, code) => {
    const character = String.fromCharCode(code);
    return /[0-9A-Fa-f]/.test(character) ? Number.parseInt(character, HEXADECIMAL) : -1;
});

/** What a chunk is continued with; `other` if what follows is no chunk of the strict form. */
type Part = "size" | "size line feed" | "data" | "carriage return" | "line feed" | "other";

/**
 * Merges chunks of a body that arrive together into one, since the HTTP parser calls back for each. Chunks are of the form
 * `HEX+ CRLF data CRLF` (RFC 9112, section 7.1). What departs from it, such as the last chunk or an extension, is left to
 * the parser with all that follows.
 */
export class ChunkMerger {
    #part: Part = "size";
    #digits = 0;
    /** Bytes of data that are due of a chunk that has arrived in part; its size so far while that arrives. */
    #due = 0;
    #taken = 0;

    /** Bytes of input in place of which the parser gets what was taken last. */
    get taken(): number {
        return this.#taken;
    }

    /** Takes chunks from the beginning of a buffer, which is overwritten; undefined if the parser alone judges what follows. */
    take(bytes: Buffer): Buffer | undefined {
        const merged = this.#part === "size" && this.#digits === 0 ? this.#merge(bytes) : undefined;
        if (merged) {
            return merged;
        }
        this.#taken = this.#follow(bytes);
        return this.#taken > 0 ? bytes.subarray(0, this.#taken) : undefined;
    }

    /** Merges the whole chunks at the beginning; undefined if there is none. */
    #merge(bytes: Buffer): Buffer | undefined {
        let chunks = 0;
        let chunkEnd = 0;
        let begin = 0;
        let write = 0;
        for (;;) {
            let index = chunkEnd;
            let size = 0;
            for (
                let value = digitAt(bytes, index);
                value >= 0 && index < chunkEnd + MAXIMUM_SIZE_DIGITS;
                value = digitAt(bytes, ++index)
            ) {
                size = size * HEXADECIMAL + value;
            }
            const data = index + LINE_END_BYTES;
            if (size === 0 || !isLineEnd(bytes, index) || !isLineEnd(bytes, data + size)) {
                break;
            }
            begin = chunks === 0 ? data : begin;
            write = chunks === 0 ? data + size : move(bytes, data, size, write);
            chunkEnd = data + size + LINE_END_BYTES;
            chunks++;
        }
        this.#taken = chunkEnd;
        if (chunks === 0) {
            return undefined;
        }
        return chunks === 1 ? bytes.subarray(0, chunkEnd) : frame(bytes, begin, write);
    }

    /** Follows a chunk that arrives in parts, up to its end; returns the place behind what is of the strict form. */
    #follow(bytes: Buffer): number {
        let index = 0;
        while (index < bytes.length && this.#part !== "other") {
            if (this.#part === "data") {
                const length = Math.min(this.#due, bytes.length - index);
                index += length;
                this.#due -= length;
                this.#part = this.#due > 0 ? "data" : "carriage return";
                continue;
            }
            const isEnd = this.#part === "line feed";
            this.#part = this.#nextPart(bytes[index] ?? -1);
            index += this.#part === "other" ? 0 : 1;
            if (isEnd) {
                break;
            }
        }
        return index;
    }

    /** Reads one byte beside the data; returns what is due behind it. */
    #nextPart(byte: number): Part {
        switch (this.#part) {
            case "size":
                return this.#readSize(byte);
            case "size line feed":
                return byte === LINE_FEED ? "data" : "other";
            case "carriage return":
                return byte === CARRIAGE_RETURN ? "line feed" : "other";
            default:
                this.#digits = 0;
                return byte === LINE_FEED ? "size" : "other";
        }
    }

    #readSize(byte: number): Part {
        const value = DIGIT_VALUES[byte] ?? -1;
        if (value < 0) {
            return byte === CARRIAGE_RETURN && this.#due > 0 ? "size line feed" : "other";
        }
        this.#digits++;
        this.#due = this.#due * HEXADECIMAL + value;
        return this.#digits <= MAXIMUM_SIZE_DIGITS ? "size" : "other";
    }
}

function digitAt(bytes: Buffer, index: number): number {
    return DIGIT_VALUES[bytes[index] ?? 0] ?? -1;
}

function isLineEnd(bytes: Buffer, index: number): boolean {
    return bytes[index] === CARRIAGE_RETURN && bytes[index + 1] === LINE_FEED;
}

/** Moves a block to an earlier place; returns the place behind it. */
function move(bytes: Buffer, from: number, length: number, to: number): number {
    if (length >= BLOCK_BYTES) {
        bytes.copyWithin(to, from, from + length);
    }
    else {
        for (let index = 0; index < length; index++) {
            bytes[to + index] = bytes[from + index] ?? 0;
        }
    }
    return to + length;
}

/** Makes one chunk of data; the frames of two chunks or more had more bytes than that of one. */
function frame(bytes: Buffer, begin: number, end: number): Buffer {
    const sizeLine = `${(end - begin).toString(HEXADECIMAL)}\r\n`;
    const data = Math.max(begin, sizeLine.length);
    bytes.copyWithin(data, begin, end);
    const dataEnd = data + end - begin;
    bytes.write(sizeLine, data - sizeLine.length, "latin1");
    bytes[dataEnd] = CARRIAGE_RETURN;
    bytes[dataEnd + 1] = LINE_FEED;
    return bytes.subarray(data - sizeLine.length, dataEnd + LINE_END_BYTES);
}
