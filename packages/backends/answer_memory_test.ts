import { expect, test } from "vitest";
import { MemoryBudget } from "../memory/mod.ts";
import { AnswerMemory } from "./mod.ts";

const OWN_BYTES = 100;

test("short answers reserve nothing, also when there is no room", () => {
    const budget = new MemoryBudget(1_000);
    budget.tryReserve(800, "answer");
    const answers = new AnswerMemory(budget, OWN_BYTES);
    expect(answers.tryHold(60)).toBe(true);
    expect(answers.tryHold(40)).toBe(true);
    expect(answers.tryHold(1)).toBe(false);
    expect(budget.usedBytes).toBe(800);
});

// Guards against reads of answers that wait, for which there is no memory left.
test("an answer that is not short is reserved from its first byte on", async () => {
    const budget = new MemoryBudget(1_000);
    const answers = new AnswerMemory(budget, OWN_BYTES);
    expect(answers.tryHold(90)).toBe(true);
    expect(answers.tryHold(20)).toBe(true);
    expect(budget.usedBytes).toBe(110);
    answers.addOwn(100);
    expect(answers.tryHold(90)).toBe(true);
    expect(await answers.hold(100)).toBe(true);
    expect(budget.usedBytes).toBe(300);
    answers.close();
    answers.close();
    expect(budget.usedBytes).toBe(0);
    expect(await answers.hold(1)).toBe(false);
});

test("an answer that waits is given up when its request ends", async () => {
    const budget = new MemoryBudget(1_000);
    budget.tryReserve(800, "answer");
    const overdrawing = new AnswerMemory(budget, 0);
    expect(await overdrawing.hold(900)).toBe(true);
    const answers = new AnswerMemory(budget, 0);
    const held = answers.hold(10);
    answers.close();
    expect(await held).toBe(false);
    overdrawing.close();
    expect(budget.usedBytes).toBe(800);
});
