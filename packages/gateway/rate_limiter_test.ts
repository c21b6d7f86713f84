import { expect, test } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import type { OrganisationProfile } from "../directory/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { RateLimiter } from "./rate_limiter.ts";

const organisation: OrganisationProfile = {
    name: "acme",
    keys: [],
    priority: undefined,
    countsTokens: true,
    defaultRequestTokens: 200,
    ratePerSecond: 1_000,
    burst: 2_000,
};
/** Units that the limit allows in one window. */
const LIMIT = 1_000 * 8 + 2_000;

const request = { organisation, promptTokens: 90, outputTokens: 10 } as GatewayRequest;

/** Creates a fleet with one limiter per instance; a replaced limiter starts again under the same instance name. */
function createFleet(count: number, firstStart = true) {
    const times = { now: 0 };
    const clock = new SuspensionAwareClock(() => times.now, () => times.now);
    const incarnations = new Array<number>(count).fill(0);
    const create = (index: number, first: boolean) =>
        new RateLimiter({
            self: { name: `instance-${index}`, incarnation: String(incarnations[index]) },
            windowMilliseconds: 8_000,
            excess: 0,
            slack: 0,
            firstStart: first,
            instanceCount: () => count,
            isInOtherCell: () => false,
            clock,
        });
    const limiters = Array.from({ length: count }, (_, index) => create(index, firstStart));
    const exchange = (receives: (from: number, to: number) => boolean) => {
        limiters.forEach((limiter, to) =>
            limiters.forEach((other, from) => {
                if (from !== to && receives(from, to)) {
                    limiter.recordPeerReport(`instance-${from}`, String(incarnations[from]), other.report());
                }
            })
        );
    };
    const replace = (index: number) => {
        incarnations[index] = (incarnations[index] ?? 0) + 1;
        limiters[index] = create(index, false);
    };
    return { times, limiters, exchange, replace };
}

/** Returns the largest number of units admitted in any window. */
function largestUsageInAWindow(admitted: { at: number; units: number; }[]): number {
    return Math.max(
        ...admitted.map(({ at: start }) =>
            admitted.filter(({ at }) => at >= start && at < start + 8_000).reduce((sum, { units }) => sum + units, 0)
        ),
    );
}

test("instances that receive each other's reports together keep to the limit in every window", () => {
    const { times, limiters, exchange } = createFleet(4);
    const admitted: number[] = [];
    for (; times.now < 40_000; times.now += 20) {
        exchange(() => true);
        // The instances admit in turn, so that each knows what was admitted before.
        const limiter = limiters[times.now / 20 % 4];
        if (limiter?.charge(request).isOk()) {
            admitted.push(times.now);
        }
    }
    for (const start of admitted) {
        const inWindow = admitted.filter(at => at >= start && at < start + 8_000).length * 100;
        expect(inWindow).toBeLessThanOrEqual(LIMIT);
    }
    expect(admitted.length * 100).toBeGreaterThan(40 * 1_000 * 0.9);
});

test("the two sides of a network partition together admit no more than the limit", () => {
    const { times, limiters, exchange } = createFleet(4);
    const sameSide = (from: number, to: number) => (from < 2) === (to < 2);
    exchange(() => true);
    times.now = 2_000;
    let admitted = 0;
    for (let step = 0; step < 400; step++) {
        exchange(sameSide);
        const limiter = limiters[step % 4];
        admitted += limiter?.charge(request).isOk() ? 100 : 0;
    }
    expect(admitted).toBeLessThanOrEqual(LIMIT);
    expect(admitted).toBeGreaterThan(LIMIT * 0.9);
});

test("the window also advances during a suspension", () => {
    const { times, limiters, exchange } = createFleet(1);
    exchange(() => true);
    const [limiter] = limiters;
    while (limiter?.charge(request).isOk()) {
        // Uses up the whole limit.
    }
    expect(limiter?.charge(request)._unsafeUnwrapErr().status).toBe(429);
    times.now += 9_000;
    expect(limiter?.charge(request).isOk()).toBe(true);
});

test("the usage of replaced processes counts while another instance is suspended", () => {
    const { times, limiters, exchange, replace } = createFleet(4);
    const admitted: { at: number; units: number; }[] = [];
    const charge = (index: number) => {
        const limiter = limiters[index];
        if (limiter?.charge(request).isOk()) {
            admitted.push({ at: times.now, units: 100 });
        }
    };
    let suspended = -1;
    for (; times.now < 20_000; times.now += 20) {
        exchange((from, to) => from !== suspended && to !== suspended);
        if (times.now >= 6_000 && times.now < 8_000) {
            // Two instances receive all requests and use up the whole limit.
            charge(times.now % 40 === 0 ? 1 : 3);
        }
        if (times.now === 8_200) {
            suspended = 2;
            replace(1);
        }
        if (times.now === 8_400) {
            replace(3);
        }
        if (times.now >= 8_600) {
            [0, 1, 3].forEach(charge);
        }
    }
    expect(largestUsageInAWindow(admitted)).toBeLessThanOrEqual(LIMIT);
    // The share of the suspended instance and the usage that is assumed for it stay unused.
    expect(admitted.length * 100).toBeGreaterThan(LIMIT * 1.5);
});

test("a limit that was used evenly is kept after all processes are replaced at once", () => {
    const { times, limiters, exchange, replace } = createFleet(4);
    const admitted: { at: number; units: number; }[] = [];
    for (; times.now < 24_000; times.now += 20) {
        if (times.now === 12_000) {
            [0, 1, 2, 3].forEach(replace);
        }
        exchange(() => true);
        // The organisation requests its limit evenly, and much more after the replacement.
        const isRequesting = times.now >= 12_000 || times.now % 80 === 0;
        const limiter = isRequesting ? limiters[Math.floor(times.now / 80) % 4] : undefined;
        if (limiter?.charge(request).isOk()) {
            admitted.push({ at: times.now, units: 100 });
        }
    }
    expect(largestUsageInAWindow(admitted)).toBeLessThanOrEqual(LIMIT);
    expect(admitted.length * 100).toBeGreaterThan(24 * 1_000 * 0.8);
});

test("refunded charges do not count", () => {
    const { limiters: [limiter] } = createFleet(1);
    for (let refunded = 0; refunded < 2 * LIMIT / 100; refunded++) {
        limiter?.charge(request)._unsafeUnwrap().refund();
    }
    let admitted = 0;
    while (limiter?.charge(request).isOk()) {
        admitted += 100;
    }
    expect(admitted).toBe(LIMIT);
});

test("many instances with late reports admit no more than the permitted excess, and at least the limit", () => {
    const count = 72;
    const rate = 100_000;
    const large = { ...organisation, ratePerSecond: rate, burst: rate };
    const times = { now: 0 };
    const clock = new SuspensionAwareClock(() => times.now, () => times.now);
    const limiters = Array.from({ length: count }, (_, index) =>
        new RateLimiter({
            self: { name: `instance-${index}`, incarnation: "0" },
            windowMilliseconds: 8_000,
            excess: 0.1,
            slack: 140_000,
            firstStart: true,
            instanceCount: () => count,
            isInOtherCell: () => false,
            clock,
        }));
    const random = new RandomSource(5);
    const admitted: { at: number; units: number; }[] = [];
    for (; times.now < 20_000; times.now += 10) {
        // Each instance reports every 800 ms, staggered; some instances report in the same step.
        limiters.forEach((limiter, from) => {
            if (times.now % 800 === Math.floor(from * 800 / count / 10) * 10) {
                const report = limiter.report();
                limiters.forEach((other, to) => to !== from && other.recordPeerReport(`instance-${from}`, "0", report));
            }
        });
        // The organisation requests four times its rate after four seconds.
        const requestedPerSecond = times.now < 4_000 ? rate * 0.5 : rate * 4;
        for (let units = random.next() * 5_000; units < requestedPerSecond / 100; units += 5_000) {
            const limiter = limiters[random.integer(0, count - 1)];
            const request = { organisation: large, promptTokens: 4_000, outputTokens: 1_000 } as GatewayRequest;
            if (limiter?.charge(request).isOk()) {
                admitted.push({ at: times.now, units: 5_000 });
            }
        }
    }
    const limit = rate * 8 + rate;
    expect(largestUsageInAWindow(admitted)).toBeLessThanOrEqual(limit * 1.1 + 140_000);
    expect(largestUsageInAWindow(admitted)).toBeGreaterThan(limit);
});
