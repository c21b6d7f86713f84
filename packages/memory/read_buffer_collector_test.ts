import { expect, test } from "vitest";
import { ReadBufferCollector } from "./mod.ts";

const READ_BYTES = 65_536;

// Guards against buffers of refused bodies that take memory outside of the budget until V8's limit of 32 MiB.
test("buffers that nothing refers to are freed before they become large", () => {
    const collector = new ReadBufferCollector();
    const bytesBefore = process.memoryUsage().arrayBuffers;
    let mostBytes = 0;
    for (let reads = 0; reads < 2_000; reads++) {
        collector.count(Buffer.allocUnsafeSlow(READ_BYTES));
        mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers - bytesBefore);
    }
    expect(mostBytes).toBeLessThan(16_000_000);
});

test("collections follow the memory of the buffers, not the length of the reads", () => {
    let collections = 0;
    const collector = new ReadBufferCollector(() => collections++);
    const buffer = Buffer.allocUnsafeSlow(READ_BYTES);
    for (let reads = 0; reads < 640; reads++) {
        collector.count(buffer.subarray(0, 100));
    }
    expect(collections).toBe(10);
});

// Guards against buffers that two collections of the young generation have kept, which V8 leaves until 64 MiB.
test("old buffers are freed once the memory outside of the heap has grown", () => {
    const collected: string[] = [];
    let externalBytes = 30_000_000;
    const collector = new ReadBufferCollector(({ type }) => collected.push(type), () => externalBytes);
    const buffer = Buffer.allocUnsafeSlow(READ_BYTES);
    const readMegabytes = (megabytes: number) => {
        for (let reads = 0; reads < megabytes * 16; reads++) {
            collector.count(buffer);
        }
    };
    readMegabytes(4);
    externalBytes += 8_000_000;
    readMegabytes(4);
    expect(collected).toEqual(["minor", "minor"]);
    externalBytes += 1_000_000;
    readMegabytes(4);
    expect(collected).toEqual(["minor", "minor", "minor", "major"]);
    readMegabytes(4);
    expect(collected).toEqual(["minor", "minor", "minor", "major", "minor"]);
});
