import { expect, test } from "vitest";
import type { EngineStage } from "../directory/mod.ts";
import { StagePlanner } from "./stage_planner.ts";

const IDLE = { prefillTokens: 0, decodeFill: 0 };
const BUSY = { prefillTokens: 3_000, decodeFill: 0.9 };
const STEP = 250;

/** Stages that a plan asks for while engines come and go; `after` gives the division at a time in milliseconds. */
function play(
    milliseconds: number,
    after: (now: number) => { engines: number; prefillers: number; prefillTokens: number; decodeFill: number; },
): EngineStage[] {
    const plan = new StagePlanner();
    const asked: EngineStage[] = [];
    for (let now = 0; now < milliseconds; now += STEP) {
        const stage = plan.next(after(now), now);
        if (stage) {
            asked.push(stage);
        }
    }
    return asked;
}

test("engines that register one by one before any traffic are divided once all are there", () => {
    // Three of eight start as prefill engines; two decode engines register a second after the others.
    const asked = play(6_000, now => ({ engines: now < 1_000 ? 6 : 8, prefillers: 3, ...IDLE }));
    expect(asked).toContain("decode");
    expect(asked).not.toContain("prefill");
    const early = play(1_000, () => ({ engines: 6, prefillers: 3, ...IDLE }));
    expect(early).toEqual([]);
});

test("two decode engines that crash under load and come back lead to no change", () => {
    const asked = play(20_000, now => ({ engines: now > 4_000 && now < 8_500 ? 6 : 8, prefillers: 2, ...BUSY }));
    expect(asked).toEqual([]);
});

test("a division that stays far from what is needed is changed", () => {
    expect(play(8_000, () => ({ engines: 13, prefillers: 5, ...BUSY }))).toContain("decode");
    expect(play(8_000, () => ({ engines: 8, prefillers: 0, ...BUSY }))).toContain("prefill");
    // One of two prefill engines has left for good.
    expect(play(8_000, () => ({ engines: 7, prefillers: 1, ...BUSY }))).toContain("prefill");
    expect(play(8_000, () => ({ engines: 1, prefillers: 0, ...BUSY }))).toEqual([]);
    // Prompts wait although decode memory is free.
    expect(play(8_000, () => ({ engines: 8, prefillers: 2, prefillTokens: 40_000, decodeFill: 0.3 })))
        .toContain("prefill");
});
