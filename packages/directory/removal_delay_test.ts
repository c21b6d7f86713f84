import { expect, test, vi } from "vitest";
import { RemovalDelay } from "./removal_delay.ts";

test("a server is removed after the delay unless it registers again in time", () => {
    vi.useFakeTimers();
    const removed: string[] = [];
    const delay = new RemovalDelay(id => removed.push(id));
    delay.schedule("renewed", 1_700);
    delay.schedule("gone", 1_700);
    vi.advanceTimersByTime(1_500);
    expect(removed).toEqual([]);
    delay.cancel("renewed");
    vi.advanceTimersByTime(500);
    expect(removed).toEqual(["gone"]);
    delay.close();
    vi.useRealTimers();
});
