import * as fc from "fast-check";
import { expect, test } from "vitest";
import { computeMemoryCapacity } from "./compute_memory_capacity.ts";
import { MemoryBudget } from "./memory_budget.ts";
import type { MemoryReservation } from "./memory_reservation.ts";
import type { MemoryUse } from "./memory_use.ts";

test("requests leave room for answers", () => {
    const budget = new MemoryBudget(1_000);
    expect(budget.tryReserve(701, "request")).toBeUndefined();
    const request = budget.tryReserve(700, "request");
    expect(budget.tryReserve(1, "request")).toBeUndefined();
    expect(request?.tryGrow(1)).toBe(false);
    expect(budget.tryReserve(300, "answer")).toBeDefined();
    expect(budget.tryReserve(1, "answer")).toBeUndefined();
});

// Guards against refusals of all requests while answers to other callers are not read.
test("answers leave room for requests", () => {
    const budget = new MemoryBudget(1_000);
    expect(budget.tryReserve(801, "answer")).toBeUndefined();
    const answer = budget.tryReserve(800, "answer");
    expect(answer?.tryGrow(1)).toBe(false);
    expect(budget.tryReserve(200, "request")).toBeDefined();
    expect(budget.tryReserve(1, "request")).toBeUndefined();
});

test("a waiter gets memory when it is released, in order, and can give up", async () => {
    const budget = new MemoryBudget(1_000);
    const held = budget.tryReserve(800, "answer");
    expect(held).toBeDefined();
    const abort = new AbortController();
    const given = budget.reserve(700, "answer", abort.signal);
    const second = budget.reserve(100, "answer", new AbortController().signal);
    abort.abort();
    expect(await given).toBeUndefined();
    held?.close();
    held?.close();
    expect((await second)?.bytes).toBe(100);
    expect(budget.usedBytes).toBe(100);
    expect(await budget.reserve(801, "answer", new AbortController().signal)).toBeUndefined();
});

// Guards against answers that are partly read and wait for each other's memory until their deadline.
test("one waiter at a time may exceed the capacity, until it is closed", async () => {
    const budget = new MemoryBudget(1_000);
    const { signal } = new AbortController();
    expect(budget.tryReserve(800, "answer")).toBeDefined();
    const first = await budget.reserve(100, "answer", signal, { mayOverdraw: true });
    expect(first?.tryGrow(500)).toBe(true);
    const order: string[] = [];
    const second = budget.reserve(100, "answer", signal, { mayOverdraw: true }).then(() => order.push("second"));
    await Promise.resolve();
    order.push("first closed");
    expect(budget.usedBytes).toBe(1_400);
    first?.close();
    await second;
    expect(order).toEqual(["first closed", "second"]);
    expect(budget.usedBytes).toBe(900);
});

// Guards against refusals of calls that have been accepted, and of others while first reads take the room of requests.
test("first reads wait, and leave requests their share", async () => {
    const budget = new MemoryBudget(1_000);
    const { signal } = new AbortController();
    const read = () => budget.reserve(100, "first-read", signal);
    const held = await Promise.all([read(), read(), read()]);
    expect(budget.tryReserve(700, "request")).toBeDefined();
    // One beyond the capacity.
    expect(await read()).toBeDefined();
    const order: string[] = [];
    const waiting = ["a", "b"].map(name => read().then(() => order.push(name)));
    expect(budget.tryReserve(100, "first-read")).toBeUndefined();
    held[0]?.close();
    held[1]?.keep(40, "answer");
    expect(budget.usedBytes).toBe(940);
    held[2]?.close();
    await waiting[0];
    expect([budget.usedBytes, order]).toEqual([940, ["a"]]);
    held[1]?.close();
    await waiting[1];
    expect(order).toEqual(["a", "b"]);
});

// Guards against calls that hold a part of an answer and wait behind some that have not begun, which wait for them.
test("calls that have not begun hold back none that have", async () => {
    const budget = new MemoryBudget(1_000);
    const { signal } = new AbortController();
    const answer = budget.tryReserve(500, "answer");
    const reads = [1, 2, 3, 4].map(() => budget.tryReserve(100, "first-read"));
    expect(reads.every(Boolean)).toBe(true);
    const order: string[] = [];
    const beginner = budget.reserve(100, "first-read", signal).then(() => order.push("beginner"));
    const first = budget.reserve(100, "answer", signal, { mayOverdraw: true });
    const second = budget.reserve(200, "answer", signal, { mayOverdraw: true }).then(() => order.push("second"));
    const overdrawn = await first;
    reads[0]?.close();
    await Promise.resolve();
    expect(order).toEqual([]);
    overdrawn?.close();
    await second;
    expect(order).toEqual(["second"]);
    answer?.close();
    reads[1]?.close();
    await beginner;
});

test("first reads beyond the capacity stay few and do not become answers", () => {
    const budget = new MemoryBudget(10_000);
    expect(budget.tryReserve(7_000, "request")).toBeDefined();
    expect(budget.tryReserve(3_000, "answer")).toBeDefined();
    const reads = [1, 2, 3].map(() => budget.tryReserve(100, "first-read"));
    expect(reads.map(Boolean)).toEqual([true, true, false]);
    reads[0]?.keep(60, "answer");
    expect(budget.tryReserve(50, "first-read")).toBeUndefined();
    expect(budget.tryReserve(40, "first-read")).toBeDefined();
    expect(budget.usedBytes).toBe(10_200);
    reads.forEach(read => read?.close());
    expect(budget.usedBytes).toBe(10_040);
});

test("the budget is never exceeded and never lost", () => {
    const step = fc.record({
        bytes: fc.integer({ min: 0, max: 400 }),
        use: fc.constantFrom<MemoryUse>("request", "answer"),
        action: fc.constantFrom("reserve", "grow", "close"),
        index: fc.nat(20),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 200 }), steps => {
            const budget = new MemoryBudget(1_000);
            const held: MemoryReservation[] = [];
            for (const { bytes, use, action, index } of steps) {
                const reservation = held[index % Math.max(1, held.length)];
                if (action === "reserve") {
                    const reserved = budget.tryReserve(bytes, use);
                    if (reserved) {
                        held.push(reserved);
                    }
                }
                else if (action === "grow") {
                    reservation?.tryGrow(bytes);
                }
                else if (reservation) {
                    reservation.close();
                    held.splice(held.indexOf(reservation), 1);
                }
                expect(budget.usedBytes).toBeLessThanOrEqual(1_000);
                expect(budget.usedBytes).toBe(held.reduce((sum, { bytes: size }) => sum + size, 0));
            }
            held.forEach(reservation => reservation.close());
            expect(budget.usedBytes).toBe(0);
        }),
        { numRuns: 300, seed: 36 },
    );
});

test("the smaller of memory and heap bounds the capacity", () => {
    expect(computeMemoryCapacity(200_000_000, 90_000_000)).toBe(45_000_000);
    expect(computeMemoryCapacity(160_000_000, 90_000_000)).toBe(40_000_000);
    expect(computeMemoryCapacity(130_000_000, 90_000_000)).toBe(25_000_000);
    expect(computeMemoryCapacity(16_000_000, 90_000_000)).toBe(2_000_000);
});
