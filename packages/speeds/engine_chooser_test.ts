import { expect, test } from "vitest";
import { RandomSource } from "../randomness/mod.ts";
import { EngineChooser } from "./engine_chooser.ts";

const PROMPT_TOKENS = 3_200;
const chooser = new EngineChooser(() => 0);
const idle = { queuedTokens: 0, failureRate: 0, isRemote: false, speedFactor: 1, savedTokens: 0 };

test.each([
    ["the shortest queue of equal engines", [{ ...idle, queuedTokens: 6_000 }, { ...idle, queuedTokens: 3_000 }], 1],
    ["the fast engine with the longer queue", [{ ...idle, speedFactor: 0.7 }, {
        ...idle,
        speedFactor: 1.7,
        queuedTokens: 3_000,
    }], 1],
    ["the slow engine if the fast one's queue is long", [{ ...idle, speedFactor: 0.7 }, {
        ...idle,
        speedFactor: 1.7,
        queuedTokens: 9_000,
    }], 0],
    ["the near engine at a small difference", [{ ...idle, isRemote: true }, { ...idle, queuedTokens: 500 }], 1],
    ["the engine that does not fail", [{ ...idle, failureRate: 0.5 }, { ...idle, queuedTokens: 3_000 }], 1],
    ["the engine that keeps the prompt", [{ ...idle, savedTokens: 3_000, queuedTokens: 2_000 }, idle], 0],
    ["another engine where the keeper is full", [{ ...idle, savedTokens: 3_000, queuedTokens: 6_000 }, idle], 1],
    ["another engine where the keeper is slow", [{ ...idle, savedTokens: 1_000, speedFactor: 0.4 }, idle], 1],
    ["none of none", [], -1],
])("a prompt goes to %s", (_, candidates, expected) => {
    const chosen = chooser.choosePrefill(candidates, PROMPT_TOKENS);
    expect(chosen ? candidates.indexOf(chosen) : -1).toBe(expected);
});

const free = { freeTokens: 10_000, failureRate: 0, speedFactor: 1, savedTokens: 0 };

test.each([
    ["the most free memory of equal engines", [free, { ...free, freeTokens: 11_000 }], 1],
    ["the fast engine with less free memory", [free, { ...free, freeTokens: 8_000, speedFactor: 1.7 }], 1],
    ["the engine that does not fail", [{ ...free, failureRate: 0.5 }, { ...free, freeTokens: 4_000 }], 1],
    ["the engine that keeps the prompt if they are equal", [free, { ...free, freeTokens: 9_900, savedTokens: 9 }], 1],
    ["the free engine although another keeps the prompt", [free, { ...free, freeTokens: 8_000, savedTokens: 9 }], 0],
    ["none without memory", [{ ...free, freeTokens: 0 }], -1],
])("an answer goes to %s", (_, candidates, expected) => {
    const chosen = chooser.chooseDecode(candidates);
    expect(chosen ? candidates.indexOf(chosen) : -1).toBe(expected);
});

test("equal engines are chosen by load alone, whatever the order and the load", () => {
    const source = new RandomSource(3);
    const random = () => source.next();
    for (let round = 0; round < 200; round++) {
        const candidates = Array.from({ length: 8 }, () => ({ ...idle, queuedTokens: Math.floor(random() * 9_000) }));
        const least = Math.min(...candidates.map(({ queuedTokens }) => queuedTokens));
        expect(chooser.choosePrefill(candidates, PROMPT_TOKENS)?.queuedTokens).toBe(least);
        const memory = candidates.map(({ queuedTokens }) => ({ ...free, freeTokens: queuedTokens + 1 }));
        const most = Math.max(...memory.map(({ freeTokens }) => freeTokens));
        expect(chooser.chooseDecode(memory)?.freeTokens).toBe(most);
    }
});
