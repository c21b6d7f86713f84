import { expect, test } from "vitest";
import { RetryBudget } from "./retry_budget.ts";

const limit = () => ({ ratio: 0.2, slack: 52, windowMilliseconds: 10_000 });

function takeAll(allowance: RetryBudget): number {
    let taken = 0;
    while (taken < 1_000 && allowance.trySpend("orders")) {
        taken++;
    }
    return taken;
}

test("all instances together retry no more than the limit", () => {
    const allowances = Array.from({ length: 6 }, () => new RetryBudget(limit, () => 6));
    for (const allowance of allowances) {
        for (let request = 0; request < 100; request++) {
            allowance.recordRequest("orders");
        }
    }
    const taken = allowances.reduce((sum, allowance) => sum + takeAll(allowance), 0);
    expect(taken).toBeLessThanOrEqual(0.2 * 600 + 52);
    expect(taken).toBeGreaterThan(0.2 * 600);
});

test("services have allowances of their own", () => {
    const allowance = new RetryBudget(limit, () => 1);
    takeAll(allowance);
    expect(allowance.trySpend("orders")).toBe(false);
    expect(allowance.trySpend("models")).toBe(true);
});
