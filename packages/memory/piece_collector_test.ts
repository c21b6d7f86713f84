import { expect, test } from "vitest";
import { PieceCollector } from "./mod.ts";

test.each([
    ["no piece", []],
    ["a small one", [1]],
    ["a large one", [70_000]],
    ["small ones beyond a block", Array.from({ length: 9_000 }, () => 13)],
    ["small and large ones by turns", [100, 5_000, 100, 4_095, 4_096, 1, 65_536, 3]],
])("pieces are joined in their order: %s", (_name, sizes) => {
    const pieces = sizes.map((size, index) => Buffer.alloc(size, index % 251));
    const collector = new PieceCollector();
    pieces.forEach(piece => collector.append(piece));
    const expected = Buffer.concat(pieces);
    expect(collector.length).toBe(expected.length);
    expect(collector.concat().equals(expected)).toBe(true);
    expect(collector.length).toBe(0);
});

// Guards against bodies of single bytes that take a hundred times their size.
test("small pieces do not keep the buffers that they are a part of", () => {
    const collector = new PieceCollector();
    const heapBefore = process.memoryUsage().heapUsed;
    for (let index = 0; index < 200_000; index++) {
        collector.append(Buffer.from("a"));
    }
    expect(collector.length).toBe(200_000);
    expect(process.memoryUsage().heapUsed - heapBefore).toBeLessThan(20_000_000);
});
