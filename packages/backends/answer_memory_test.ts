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
    const answers = new AnswerMemory(budget, OWN_BYTES, 100);
    expect(answers.tryHold(90)).toBe(true);
    expect(answers.tryHold(20)).toBe(true);
    expect(budget.usedBytes).toBe(110);
    expect(answers.tryExpect()).toBe(true);
    expect(answers.tryHold(90)).toBe(true);
    expect(budget.usedBytes).toBe(210);
    expect(await answers.hold(100)).toBe(true);
    expect(budget.usedBytes).toBe(400);
    answers.endSends();
    expect(budget.usedBytes).toBe(300);
    answers.close();
    answers.close();
    expect(budget.usedBytes).toBe(0);
    expect(await answers.hold(1)).toBe(false);
});

// Guards against reads of long answers that wait beside their first read, for which nothing was reserved.
test.each([
    { name: "no known end", bytes: 101, dueBytes: Infinity, reserved: 101 },
    { name: "more due than needs no reservation", bytes: 150, dueBytes: 51, reserved: 150 },
    { name: "no more due than needs no reservation", bytes: 150, dueBytes: 50, reserved: 0 },
    { name: "a beginning that the request has room for", bytes: 100, dueBytes: Infinity, reserved: 0 },
])("an answer with $name has $reserved bytes reserved", ({ bytes, dueBytes, reserved }) => {
    const budget = new MemoryBudget(1_000);
    const answers = new AnswerMemory(budget, OWN_BYTES, 100);
    expect(answers.tryExpect()).toBe(true);
    expect(answers.tryHold(bytes, dueBytes)).toBe(true);
    expect(budget.usedBytes).toBe(100 + reserved);
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

test.each([
    { held: 0, kept: 0 },
    { held: 80, kept: 0 },
    { held: 150, kept: 50 },
    { held: 250, kept: 150 },
    { held: 301, kept: 301 },
])("of two first reads, $kept bytes are kept for answers of $held", async ({ held, kept }) => {
    const budget = new MemoryBudget(1_000);
    const answers = new AnswerMemory(budget, OWN_BYTES, 100);
    expect(await answers.expect(new AbortController().signal)).toBe(true);
    expect(answers.tryExpect()).toBe(true);
    expect(budget.usedBytes).toBe(200);
    expect(answers.tryHold(held)).toBe(true);
    answers.endSends();
    expect(budget.usedBytes).toBe(kept);
    answers.close();
    expect(budget.usedBytes).toBe(0);
});

test("a call that waits to be sent is given up with its request, and one that has ended keeps no first read", async () => {
    const budget = new MemoryBudget(1_000);
    const others = [0, 1, 2, 3].map(() => new AnswerMemory(budget, 0, 100));
    expect(others.map(other => other.tryExpect())).toEqual([true, true, true, true]);
    const abort = new AbortController();
    const given = new AnswerMemory(budget, 0, 100).expect(abort.signal);
    const ended = new AnswerMemory(budget, 0, 100);
    const endedExpects = ended.expect(new AbortController().signal);
    abort.abort();
    expect(await given).toBe(false);
    ended.close();
    others.forEach(other => other.close());
    expect(await endedExpects).toBe(false);
    expect(budget.usedBytes).toBe(0);
});
