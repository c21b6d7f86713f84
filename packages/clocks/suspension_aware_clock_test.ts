import { expect, test } from "vitest";
import { SuspensionAwareClock } from "./suspension_aware_clock.ts";

function clockAt(start: number) {
    const times = { monotonic: 0, wall: start };
    const clock = new SuspensionAwareClock(() => times.monotonic, () => times.wall);
    const pass = (monotonic: number, wall: number) => {
        times.monotonic += monotonic;
        times.wall += wall;
    };
    return { clock, pass };
}

test("time in which the machine was suspended counts", () => {
    const { clock, pass } = clockAt(1_000_000);
    const before = clock.now();
    pass(50, 7_050);
    expect(clock.now() - before).toBe(7_050);
});

test("a jump ahead of the time of day makes knowledge older, never younger", () => {
    const { clock, pass } = clockAt(1_000_000);
    const before = clock.now();
    pass(100, 2_500);
    expect(clock.now() - before).toBeGreaterThanOrEqual(100);
});

test("a jump back is no gain, and a suspension after it still counts", () => {
    const { clock, pass } = clockAt(1_000_000);
    const before = clock.now();
    pass(100, -2_400);
    expect(clock.now() - before).toBe(100);
    pass(100, 5_100);
    expect(clock.now() - before).toBe(5_200);
});

test("small differences between the clocks do not add up", () => {
    const { clock, pass } = clockAt(1_000_000);
    const before = clock.now();
    for (let step = 0; step < 100; step++) {
        pass(10, step % 2 === 0 ? 40 : -20);
        clock.now();
    }
    expect(clock.now() - before).toBe(1_000);
});
