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

const CALM = { ...BUSY, decodeUtilisation: 0.3 };

test.each(
    [
        ["the operator's division before traffic", { ...IDLE, prefillFraction: "not-measured-yet" }, 6, []],
        ["no prefill engine before traffic", { ...IDLE, prefillFraction: "not-measured-yet" }, 0, ["prefill"]],
        ["prompts that take a third of the time", { ...BUSY, prefillFraction: 0.35 }, 6, []],
        ["more prompts than prefill engines", { ...CALM, prefillFraction: 0.45 }, 6, ["prefill"]],
        ["more prompts in a burst, decode engines busy", { ...BUSY, prefillFraction: 0.45 }, 6, []],
        ["longer answers than decode engines", { ...BUSY, prefillFraction: 0.2 }, 6, ["decode"]],
        ["few answers while decode memory is free", { ...CALM, prefillFraction: 0.2 }, 6, []],
        ["a fraction that varies without traffic", { ...IDLE, prefillFraction: 0.2 }, 6, []],
    ] as const,
)("the measured engine time decides: %s", (_, load, prefillEngines, expected) => {
    const division = { engines: 17, prefillEngines, ...load };
    expect([...new Set(simulate(8_000, () => division))]).toEqual(expected);
});

test.each(
    [
        ["a lack of four while decode engines are mostly free", "prefill", 0.1, 0.6, 4],
        ["a lack of four while decode engines can spare two", "prefill", 0.4, 0.6, 2],
        ["a lack of four while decode engines are busy", "prefill", 0.9, 0.6, 1],
        ["prompts that wait without a measured lack", "prefill", 0.1, undefined, 1],
        ["a surplus of prefill engines", "decode", 0.9, 0.2, 1],
    ] as const,
)("several engines change at once only where decode has room: %s", (_, stage, utilisation, fraction, count) => {
    const division = {
        engines: 16,
        prefillEngines: 6,
        prefillTokens: 30_000,
        decodeUtilisation: utilisation,
        prefillFraction: fraction,
    };
    expect(new StagePlanner().countAtOnce(division, stage)).toBe(count);
});
