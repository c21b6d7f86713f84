import { expect, test } from "vitest";
import { SuspensionAwareClock } from "./suspension_aware_clock.ts";

function createClock(start: number) {
    const times = { monotonic: 0, wall: start };
    const clock = new SuspensionAwareClock(() => times.monotonic, () => times.wall);
    const pass = (monotonic: number, wall: number) => {
        times.monotonic += monotonic;
        times.wall += wall;
    };
    return { clock, pass };
}

test("the time in which the machine was suspended is counted", () => {
    const { clock, pass } = createClock(1_000_000);
    const before = clock.now();
    pass(50, 7_050);
    expect(clock.now() - before).toBe(7_050);
});

test("a forward jump of the wall clock never makes data appear newer", () => {
    const { clock, pass } = createClock(1_000_000);
    const before = clock.now();
    pass(100, 2_500);
    expect(clock.now() - before).toBeGreaterThanOrEqual(100);
});

test("a backward jump of the wall clock does not slow the clock, and a later suspension is still counted", () => {
    const { clock, pass } = createClock(1_000_000);
    const before = clock.now();
    pass(100, -2_400);
    expect(clock.now() - before).toBe(100);
    pass(100, 5_100);
    expect(clock.now() - before).toBe(5_200);
});

test("small differences between the clocks do not accumulate", () => {
    const { clock, pass } = createClock(1_000_000);
    const before = clock.now();
    for (let step = 0; step < 100; step++) {
        pass(10, step % 2 === 0 ? 40 : -20);
        clock.now();
    }
    expect(clock.now() - before).toBe(1_000);
});
