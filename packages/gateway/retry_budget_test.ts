import { expect, test } from "vitest";
import { RetryBudget } from "./retry_budget.ts";

const limit = () => ({ ratio: 0.2, slack: 52, windowMilliseconds: 10_000 });

function spendAll(budget: RetryBudget): number {
    let spent = 0;
    while (spent < 1_000 && budget.trySpend("orders")) {
        spent++;
    }
    return spent;
}

test("all instances together retry no more than the limit", () => {
    const budgets = Array.from({ length: 6 }, () => new RetryBudget(limit, () => 6));
    for (const budget of budgets) {
        for (let request = 0; request < 100; request++) {
            budget.recordRequest("orders");
        }
    }
    const spent = budgets.reduce((sum, budget) => sum + spendAll(budget), 0);
    expect(spent).toBeLessThanOrEqual(0.2 * 600 + 52);
    expect(spent).toBeGreaterThan(0.2 * 600);
});

test("each service has its own budget", () => {
    const budget = new RetryBudget(limit, () => 1);
    spendAll(budget);
    expect(budget.trySpend("orders")).toBe(false);
    expect(budget.trySpend("models")).toBe(true);
});

test("whether a retry is allowed can be asked without spending it", () => {
    const budget = new RetryBudget(limit, () => 1);
    for (let question = 0; question < 100; question++) {
        expect(budget.canSpend("orders")).toBe(true);
    }
    expect(spendAll(budget)).toBe(52);
    expect(budget.canSpend("orders")).toBe(false);
});

// Guards against retries that are made without a budget and not counted.
test("a retry that is owed is made without a budget and counts against later ones", () => {
    let slack = 1;
    const budget = new RetryBudget(() => ({ ratio: 0, slack, windowMilliseconds: 10_000 }), () => 1);
    expect(spendAll(budget)).toBe(1);
    expect(budget.trySpend("orders", true)).toBe(true);
    slack = 2;
    expect(budget.trySpend("orders")).toBe(false);
});
