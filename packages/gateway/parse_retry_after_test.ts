import { expect, test } from "vitest";
import { parseRetryAfter } from "./parse_retry_after.ts";

const SENT_AT = Date.parse("Sun, 06 Nov 1994 08:49:37 GMT");

test.each<[string, number | undefined]>([
    ["2", 2_000],
    ["0.25", 250],
    [" 1. ", 1_000],
    [".5", 500],
    ["0", 0],
    ["-3", 0],
    ["86400000", 86_400_000_000],
    ["9".repeat(400), Number.POSITIVE_INFINITY],
    ["Sun, 06 Nov 1994 08:49:40 GMT", 3_000],
    ["Sun, 06 Nov 1994 08:49:30 GMT", 0],
    ["Sun, 99 Nov 1994 08:49:40 GMT", undefined],
    ["", undefined],
    ["soon", undefined],
    ["soon 5", undefined],
    ["1e3", undefined],
    ["+1", undefined],
    ["1,5", undefined],
    ["1 2", undefined],
    ["Infinity", undefined],
    ["NaN", undefined],
    ["0x10", undefined],
])("the value %j means %s ms", (value, milliseconds) => {
    expect(parseRetryAfter(value, SENT_AT)).toBe(milliseconds);
});
