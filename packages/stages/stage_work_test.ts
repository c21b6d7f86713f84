import { expect, test } from "vitest";
import { StageWork } from "./stage_work.ts";

interface Load {
    promptTokens: number;
    /** Milliseconds of a prefill at an idle engine. */
    prefill: number;
    /** Milliseconds that a prefill waits behind others. */
    wait: number;
    occupancy: number;
    /** Milliseconds of a run at a decode engine. */
    run: number;
}

function measure(loads: Load[], requests: number): number | undefined {
    const work = new StageWork();
    for (let index = 0; index < requests; index++) {
        const { promptTokens, prefill, wait, occupancy, run } = loads[index % loads.length]!;
        const isIdle = wait === 0;
        work.recordPrefill("chat", { promptTokens, milliseconds: prefill + wait, isIdle }, index * 1_000);
        work.recordRun("chat", { occupancy, milliseconds: run }, index * 1_000);
    }
    return work.prefillFraction("chat", requests * 1_000);
}

const SUMMARIES = { promptTokens: 4_000, prefill: 200, wait: 0, occupancy: 0.2, run: 1_800 };

test.each([
    ["long prompts, short answers", [{ ...SUMMARIES, run: 800 }], 0.5],
    ["long prompts, long answers", [SUMMARIES], 0.333],
    ["short prompts, long answers", [{ ...SUMMARIES, promptTokens: 1_000, prefill: 50, occupancy: 0.1 }], 0.213],
    ["a burst in which half of the prompts wait", [SUMMARIES, { ...SUMMARIES, wait: 900 }], 0.333],
    ["two kinds of requests", [SUMMARIES, { ...SUMMARIES, run: 800 }], 0.4],
    ["answers that engines keep for free", [{ ...SUMMARIES, occupancy: 0 }], 1],
])("prefills take the fraction of the engine time: %s", (_, loads, expected) => {
    expect(measure(loads, 40)).toBeCloseTo(expected, 2);
});

test.each([
    ["no traffic", [SUMMARIES], 0],
    ["few requests", [SUMMARIES], 5],
    ["no prefill at an idle engine", [{ ...SUMMARIES, wait: 500 }], 40],
])("nothing is concluded from %s", (_, loads, requests) => {
    expect(measure(loads, requests)).toBeUndefined();
});

test("the fraction follows traffic that shifts from long answers to short ones, and services do not mix", () => {
    const work = new StageWork();
    for (let now = 0; now < 240_000; now += 1_000) {
        work.recordPrefill("chat", { promptTokens: 4_000, milliseconds: 200, isIdle: true }, now);
        work.recordRun("chat", { occupancy: 0.2, milliseconds: now < 120_000 ? 1_800 : 800 }, now);
        work.recordRun("notes", { occupancy: 1, milliseconds: 9_000 }, now);
    }
    expect(work.prefillFraction("chat", 240_000)).toBeCloseTo(0.487, 2);
    expect(work.prefillFraction("notes", 240_000)).toBeUndefined();
    // Traffic that ended long ago says nothing of the next.
    expect(work.prefillFraction("chat", 600_000)).toBeUndefined();
});

test("an instance with few requests of its own learns from its peers, as long as they report", () => {
    const peer = new StageWork();
    for (let index = 0; index < 20; index++) {
        peer.recordPrefill("chat", { promptTokens: 4_000, milliseconds: 200, isIdle: true }, index * 10);
        peer.recordRun("chat", { occupancy: 0.2, milliseconds: 1_800 }, index * 10);
    }
    const own = new StageWork();
    expect(own.report(200)).toBeUndefined();
    own.applyReport("north-2", peer.report(200), 200);
    // Long answers that began first have not ended yet.
    expect(own.prefillFraction("chat", 3_000)).toBeUndefined();
    expect(own.prefillFraction("chat", 8_000)).toBeCloseTo(0.333, 2);
    // A peer's requests are not reported on.
    expect(own.report(200)).toBeUndefined();
    expect(own.prefillFraction("chat", 11_000)).toBeUndefined();
    own.applyReport("north-2", peer.report(200), 12_000);
    own.applyReport("north-2", undefined, 12_100);
    expect(own.prefillFraction("chat", 12_200)).toBeUndefined();
});
