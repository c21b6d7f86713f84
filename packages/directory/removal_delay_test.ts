import { expect, test, vi } from "vitest";
import { RemovalDelay } from "./removal_delay.ts";

test("a server that registers again in time is not removed, one that does not is", () => {
    vi.useFakeTimers();
    const removed: string[] = [];
    const delay = new RemovalDelay(id => removed.push(id));
    delay.schedule("lives", 1_700);
    delay.schedule("gone", 1_700);
    vi.advanceTimersByTime(1_500);
    expect(removed).toEqual([]);
    delay.cancel("lives");
    vi.advanceTimersByTime(500);
    expect(removed).toEqual(["gone"]);
    delay.close();
    vi.useRealTimers();
});
