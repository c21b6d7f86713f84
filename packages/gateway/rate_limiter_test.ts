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
/** What the limit allows in one window. */
const LIMIT = 1_000 * 8 + 2_000;

const request = { organisation, promptTokens: 90, outputTokens: 10 } as GatewayRequest;

/** What counts of each process of the fleet; a replaced process starts anew under the same name. */
function fleet(count: number, firstStart = true) {
    const times = { now: 0 };
    const clock = new SuspensionAwareClock(() => times.now, () => times.now);
    const starts = new Array<number>(count).fill(0);
    const create = (index: number, first: boolean) =>
        new RateLimiter({
            self: { name: `instance-${index}`, incarnation: String(starts[index]) },
            windowMilliseconds: 8_000,
            excess: 0,
            slack: 0,
            firstStart: first,
            instanceCount: () => count,
            clock,
        });
    const limiters = Array.from({ length: count }, (_, index) => create(index, firstStart));
    const exchange = (hears: (from: number, to: number) => boolean) => {
        limiters.forEach((limiter, to) =>
            limiters.forEach((other, from) => {
                if (from !== to && hears(from, to)) {
                    limiter.recordPeerReport(`instance-${from}`, String(starts[from]), other.report());
                }
            })
        );
    };
    const replace = (index: number) => {
        starts[index] = (starts[index] ?? 0) + 1;
        limiters[index] = create(index, false);
    };
    return { times, limiters, exchange, replace };
}

/** Most units admitted in any window. */
function mostInAWindow(admitted: { at: number; units: number; }[]): number {
    return Math.max(
        ...admitted.map(({ at: start }) =>
            admitted.filter(({ at }) => at >= start && at < start + 8_000).reduce((sum, { units }) => sum + units, 0)
        ),
    );
}

test("what all instances admit in any window keeps to the limit while they hear each other", () => {
    const { times, limiters, exchange } = fleet(4);
    const admitted: number[] = [];
    for (; times.now < 40_000; times.now += 20) {
        exchange(() => true);
        // One instance after the other, so that each knows what was admitted before.
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

test("two parts of a fleet that do not hear each other admit no more than the whole may", () => {
    const { times, limiters, exchange } = fleet(4);
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

test("a window is over after a suspension", () => {
    const { times, limiters, exchange } = fleet(1);
    exchange(() => true);
    const [limiter] = limiters;
    while (limiter?.charge(request).isOk()) {
        // Spends the whole limit.
    }
    expect(limiter?.charge(request)._unsafeUnwrapErr().status).toBe(429);
    times.now += 9_000;
    expect(limiter?.charge(request).isOk()).toBe(true);
});

test("what replaced processes had spent counts while one peer is paused", () => {
    const { times, limiters, exchange, replace } = fleet(4);
    const admitted: { at: number; units: number; }[] = [];
    const charge = (index: number) => {
        const limiter = limiters[index];
        if (limiter?.charge(request).isOk()) {
            admitted.push({ at: times.now, units: 100 });
        }
    };
    let paused = -1;
    for (; times.now < 20_000; times.now += 20) {
        exchange((from, to) => from !== paused && to !== paused);
        if (times.now >= 6_000 && times.now < 8_000) {
            // Two instances get all the traffic and spend the whole limit.
            charge(times.now % 40 === 0 ? 1 : 3);
        }
        if (times.now === 8_200) {
            paused = 2;
            replace(1);
        }
        if (times.now === 8_400) {
            replace(3);
        }
        if (times.now >= 8_600) {
            [0, 1, 3].forEach(charge);
        }
    }
    expect(mostInAWindow(admitted)).toBeLessThanOrEqual(LIMIT);
    // The paused instance's share is not used, nor what falls to it.
    expect(admitted.length * 100).toBeGreaterThan(LIMIT * 1.5);
});

test("after all processes were replaced at once, a limit that was used evenly is kept", () => {
    const { times, limiters, exchange, replace } = fleet(4);
    const admitted: { at: number; units: number; }[] = [];
    for (; times.now < 24_000; times.now += 20) {
        if (times.now === 12_000) {
            [0, 1, 2, 3].forEach(replace);
        }
        exchange(() => true);
        // The organisation asks evenly for all that its limit allows, and for much more after the replacement.
        const asks = times.now >= 12_000 || times.now % 80 === 0;
        const limiter = asks ? limiters[Math.floor(times.now / 80) % 4] : undefined;
        if (limiter?.charge(request).isOk()) {
            admitted.push({ at: times.now, units: 100 });
        }
    }
    expect(mostInAWindow(admitted)).toBeLessThanOrEqual(LIMIT);
    expect(admitted.length * 100).toBeGreaterThan(24 * 1_000 * 0.8);
});

test("what no server has run does not count", () => {
    const { limiters: [limiter] } = fleet(1);
    for (let refused = 0; refused < 2 * LIMIT / 100; refused++) {
        limiter?.charge(request)._unsafeUnwrap().refund();
    }
    let admitted = 0;
    while (limiter?.charge(request).isOk()) {
        admitted += 100;
    }
    expect(admitted).toBe(LIMIT);
});

test("many instances whose reports come late admit no more than is permitted, and little less", () => {
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
            clock,
        }));
    const random = new RandomSource(5);
    const admitted: { at: number; units: number; }[] = [];
    for (; times.now < 20_000; times.now += 10) {
        // Each instance reports every 800 ms, one after the other; some of the reports of a step come together.
        limiters.forEach((limiter, from) => {
            if (times.now % 800 === Math.floor(from * 800 / count / 10) * 10) {
                const report = limiter.report();
                limiters.forEach((other, to) => to !== from && other.recordPeerReport(`instance-${from}`, "0", report));
            }
        });
        // The organisation asks for four times its rate from the fourth second on.
        const asks = times.now < 4_000 ? rate * 0.5 : rate * 4;
        for (let units = random.next() * 5_000; units < asks / 100; units += 5_000) {
            const limiter = limiters[random.integer(0, count - 1)];
            const request = { organisation: large, promptTokens: 4_000, outputTokens: 1_000 } as GatewayRequest;
            if (limiter?.charge(request).isOk()) {
                admitted.push({ at: times.now, units: 5_000 });
            }
        }
    }
    const limit = rate * 8 + rate;
    expect(mostInAWindow(admitted)).toBeLessThanOrEqual(limit * 1.1 + 140_000);
    expect(mostInAWindow(admitted)).toBeGreaterThan(limit);
});
