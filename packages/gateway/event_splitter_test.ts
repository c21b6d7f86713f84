import { expect, test } from "vitest";
import { countBufferWork } from "../harness/mod.ts";
import { EventSplitter } from "./event_splitter.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\nid: 3\n\r\nid:4\ndata: \r\n\rdata\n\n";
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "\nid: 3\n\r\n", "id:4\ndata: \r\n\rdata\n\n"];

/** Cuts bytes into pieces of one size. */
function cut(bytes: Buffer, pieceBytes: number): Buffer[] {
    const count = Math.ceil(bytes.length / pieceBytes);
    return Array.from({ length: count }, (_, index) => bytes.subarray(index * pieceBytes, (index + 1) * pieceBytes));
}

test.each([1, 2, 3, 5, 16, 1_000])("events are found in pieces of %d bytes, with each kind of line end", pieceBytes => {
    const splitter = new EventSplitter();
    const events = cut(Buffer.from(`${STREAM}id: 5\n`), pieceBytes).flatMap(piece => splitter.push(piece));
    expect(events.map(({ bytes }) => bytes.toString())).toEqual(EVENTS);
    expect(events.map(({ id }) => id)).toEqual([1, 2, 3, 4]);
    expect(splitter.pendingBytes).toBe(6);
});

// Guards against an instance that stands still while an engine sends an event without an end: each piece was joined with all
// before it, and all was searched again.
test.each([
    ["bytes", "a", 1],
    ["lines", "data: aaaaaaaa\n", 15],
    ["blocks of lines", "data: aaaaaaaa\n", 1_500],
    ["beginnings of empty lines", "\n\rx", 2],
])("an event without an end costs the same for each byte, in %s", (_name, text, pieceBytes) => {
    const work = (bytes: number) =>
        countBufferWork(() => {
            const splitter = new EventSplitter();
            cut(Buffer.from(text.repeat(bytes / text.length)), pieceBytes).forEach(piece => splitter.push(piece));
            expect(splitter.pendingBytes).toBe(bytes);
        });
    expect(work(60_000)).toBeLessThan(4 * 60_000);
    expect(work(120_000)).toBeLessThan(4 * 120_000);
});
