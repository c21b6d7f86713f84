import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { TurnWatch } from "./turn_watch.ts";

const PERIOD_MILLISECONDS = 50;

let now: number;
let turns: TurnWatch;

beforeEach(() => {
    vi.useFakeTimers();
    now = 0;
    turns = new TurnWatch(() => now);
});

afterEach(() => {
    turns.close();
    vi.useRealTimers();
});

/** Lets one look take place after a time. */
function look(afterMilliseconds: number): void {
    now += afterMilliseconds;
    vi.advanceTimersByTime(PERIOD_MILLISECONDS);
}

// Guards against ends that reckon with a process that gets all the processor time it asks for.
test.each([
    [[50, 50], 0, 0],
    [[50, 850, 50], 0, 800],
    [[50, 50], 350, 300],
    [[1_050, ...Array.from({ length: 100 }, () => 50)], 0, 1_000],
    [[1_050, ...Array.from({ length: 220 }, () => 50)], 0, 0],
])("looks after %j ms and %d ms since the last one: %d ms late", (looks, since, lateness) => {
    looks.forEach(look);
    now += since;
    expect(turns.latenessMilliseconds).toBe(lateness);
});

// Guards against a grace period that is counted from the turn in which the signal is read.
test("a signal that was sent while the process was stopped counts from before the stop", () => {
    look(50);
    look(50);
    look(1_200);
    expect(turns.signalNotBefore).toBe(100);
});
