import fc from "fast-check";
import { expect, test } from "vitest";
import { RefundableTokenBucket } from "./mod.ts";

const RATE = 10;
const BURST = 100;

/** One step of a random trace: time passes, then a request arrives or an outstanding one ends. */
const step = fc.record({
    wait: fc.integer({ min: 0, max: 3_000 }),
    amount: fc.integer({ min: 1, max: BURST }),
    usedFraction: fc.double({ min: 0, max: 1, noNaN: true }),
    ends: fc.boolean(),
    outstandingIndex: fc.nat(20),
});

interface Spent {
    at: number;
    amount: number;
}

/** Returns the maximum over all windows of the tokens spent minus the burst and the tokens that the rate adds. */
function worstExcess(spent: Spent[]): number {
    let worst = Number.NEGATIVE_INFINITY;
    for (let first = 0; first < spent.length; first++) {
        let sum = 0;
        for (let last = first; last < spent.length; last++) {
            sum += spent[last]!.amount;
            const seconds = (spent[last]!.at - spent[first]!.at) / 1_000;
            worst = Math.max(worst, sum - BURST - RATE * seconds);
        }
    }
    return worst;
}

test("no window holds more used tokens than burst and rate allow, whatever the order of refunds", () => {
    let refunds = 0;
    fc.assert(
        fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), steps => {
            const bucket = new RefundableTokenBucket(RATE, BURST, BURST, 0);
            const spent: Spent[] = [];
            const outstanding: { id: string; spent: Spent; amount: number; }[] = [];
            let now = 0;
            for (const [index, { wait, amount, usedFraction, ends, outstandingIndex }] of steps.entries()) {
                now += wait;
                if (ends && outstanding.length > 0) {
                    const [ended] = outstanding.splice(outstandingIndex % outstanding.length, 1);
                    ended!.spent.amount = Math.floor(ended!.amount * usedFraction);
                    bucket.settle(ended!.id, ended!.spent.amount, now);
                    refunds++;
                }
                else if (bucket.charge(`${index}`, amount, now)) {
                    const entry = { at: now, amount };
                    spent.push(entry);
                    outstanding.push({ id: `${index}`, spent: entry, amount });
                }
            }
            // Outstanding requests may still use all their tokens.
            expect(worstExcess(spent)).toBeLessThanOrEqual(1e-6);
        }),
        { seed: 1, numRuns: 4_000 },
    );
    expect(refunds).toBeGreaterThan(1_000);
});

test("a refund restores the level that the bucket would have after the smaller charge", () => {
    const bucket = new RefundableTokenBucket(RATE, BURST, BURST, 0);
    expect(bucket.charge("a", 80, 0)).toBe(true);
    expect(bucket.charge("b", 50, 1_000)).toBe(false);
    bucket.settle("a", 30, 2_000);
    expect(bucket.level(2_000)).toBe(90);
    expect(bucket.charge("c", 90, 2_000)).toBe(true);
});

test("a refund after the bucket has filled adds nothing", () => {
    const bucket = new RefundableTokenBucket(RATE, BURST, BURST, 0);
    bucket.charge("a", 80, 0);
    expect(bucket.level(20_000)).toBe(BURST);
    bucket.settle("a", 0, 20_000);
    expect(bucket.level(20_000)).toBe(BURST);
});

test("an expired charge can no longer be refunded", () => {
    const bucket = new RefundableTokenBucket(RATE, BURST, BURST, 0);
    bucket.charge("a", 80, 0);
    bucket.expire(1);
    bucket.settle("a", 0, 1);
    expect(bucket.level(1)).toBeCloseTo(20.01);
    expect(bucket.entryCount).toBe(0);
});

test("a changed limit keeps the level within the new burst", () => {
    const bucket = new RefundableTokenBucket(RATE, BURST, BURST, 0);
    bucket.reconfigure(1, 50, 0);
    expect(bucket.level(0)).toBe(50);
    expect(bucket.level(100_000)).toBe(50);
});
