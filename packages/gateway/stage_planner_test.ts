import { expect, test } from "vitest";
import type { EngineStage } from "../directory/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { StagePlanner } from "./stage_planner.ts";

const IDLE = { prefillTokens: 0, decodeUtilisation: 0 };
const BUSY = { prefillTokens: 3_000, decodeUtilisation: 0.9 };
const STEP_MILLISECONDS = 250;

/** Returns the stages that a planner requests; `divisionAt` returns the division at a time in milliseconds. */
function simulate(
    milliseconds: number,
    divisionAt: (
        now: number,
    ) => Parameters<StagePlanner["next"]>[0],
): EngineStage[] {
    const planner = new StagePlanner();
    const requested: EngineStage[] = [];
    for (let now = 0; now < milliseconds; now += STEP_MILLISECONDS) {
        const stage = planner.next(divisionAt(now), now);
        if (stage) {
            requested.push(stage);
        }
    }
    return requested;
}

test("engines that register one by one without traffic are divided only after all have registered", () => {
    // Three of eight start as prefill engines; two decode engines register a second after the others.
    const requested = simulate(6_000, now => ({ engines: now < 1_000 ? 6 : 8, prefillEngines: 3, ...IDLE }));
    expect(requested).toContain("decode");
    expect(requested).not.toContain("prefill");
    const early = simulate(1_000, () => ({ engines: 6, prefillEngines: 3, ...IDLE }));
    expect(early).toEqual([]);
});

test("two decode engines that crash and restart under load cause no change", () => {
    const requested = simulate(
        20_000,
        now => ({ engines: now > 4_000 && now < 8_500 ? 6 : 8, prefillEngines: 2, ...BUSY }),
    );
    expect(requested).toEqual([]);
});

test("a division that stays far from the target is changed", () => {
    expect(simulate(8_000, () => ({ engines: 13, prefillEngines: 5, ...BUSY }))).toContain("decode");
    expect(simulate(8_000, () => ({ engines: 8, prefillEngines: 0, ...BUSY }))).toContain("prefill");
    // One of two prefill engines has been removed permanently.
    expect(simulate(8_000, () => ({ engines: 7, prefillEngines: 1, ...BUSY }))).toContain("prefill");
    expect(simulate(8_000, () => ({ engines: 1, prefillEngines: 0, ...BUSY }))).toEqual([]);
    // Prompts wait while decode memory is free.
    expect(simulate(8_000, () => ({ engines: 8, prefillEngines: 2, prefillTokens: 40_000, decodeUtilisation: 0.3 })))
        .toContain("prefill");
});

test.each([
    ["equal engines in balance", [1, 1, 1], 9, 0.9, []],
    ["slow prefill engines", [0.5, 0.5, 0.5], 9, 0.9, ["prefill"]],
    ["fast prefill engines", [1.7, 1.7, 1.7], 9, 0.9, ["decode"]],
    ["fast prefill engines while decode memory is free", [1.7, 1.7, 1.7], 9, 0.3, []],
])("speeds count, not engines alone: %s", (_, prefill, decodeEngines, decodeUtilisation, expected) => {
    const sum = prefill.reduce((total, speed) => total + speed, 0);
    const division = {
        engines: prefill.length + decodeEngines,
        prefillEngines: prefill.length,
        prefillTokens: 3_000,
        decodeUtilisation,
        speeds: { all: sum + decodeEngines, prefill: sum, fastestPrefill: Math.max(...prefill) },
    };
    expect([...new Set(simulate(8_000, () => division))]).toEqual(expected);
});

// Guards against orders to and fro, which cost an engine for seconds each.
test("a change never makes the opposite one needed, whatever the speeds", () => {
    const random = new RandomSource(5);
    for (let round = 0; round < 500; round++) {
        const speeds = Array.from({ length: random.integer(2, 30) }, () => 0.4 + 1.6 * random.next());
        let prefillEngines = random.integer(0, speeds.length - 1);
        const needed = () => {
            const prefill = speeds.slice(0, prefillEngines);
            const total = (list: number[]) => list.reduce((sum, speed) => sum + speed, 0);
            const division = { engines: speeds.length, prefillEngines, ...BUSY, prefillTokens: 0 };
            const sums = { all: total(speeds), prefill: total(prefill), fastestPrefill: Math.max(0, ...prefill) };
            return simulate(6_000, () => ({ ...division, speeds: sums })).at(-1);
        };
        const first = needed();
        prefillEngines += first === "prefill" ? 1 : first === "decode" ? -1 : 0;
        expect([undefined, first]).toContain(needed());
    }
});
