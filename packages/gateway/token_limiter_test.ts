import { expect, test } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import type { OrganisationProfile } from "../directory/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { TokenLimiter } from "./token_limiter.ts";

const organisation: OrganisationProfile = {
    name: "acme",
    keys: [],
    priority: undefined,
    countsTokens: true,
    plainTokens: 200,
    ratePerSecond: 1_000,
    burst: 2_000,
};
/** What the limit allows in one window. */
const LIMIT = 1_000 * 8 + 2_000;

const request = { organisation, promptTokens: 90, outputTokens: 10 } as GatewayRequest;

function fleet(count: number) {
    const times = { now: 0 };
    const clock = new SuspensionAwareClock(() => times.now, () => times.now);
    const limiters = Array.from({ length: count }, () =>
        new TokenLimiter({
            windowMilliseconds: 8_000,
            excess: 0,
            slack: 0,
            firstStart: true,
            instanceCount: () => count,
            clock,
        }));
    const exchange = (hears: (from: number, to: number) => boolean) => {
        limiters.forEach((limiter, to) =>
            limiters.forEach((other, from) => {
                if (from !== to && hears(from, to)) {
                    limiter.notePeer(`instance-${from}`, other.spending());
                }
            })
        );
    };
    return { times, limiters, exchange };
}

test("what all instances admit in any window keeps to the limit while they hear each other", () => {
    const { times, limiters, exchange } = fleet(4);
    const admitted: number[] = [];
    for (; times.now < 40_000; times.now += 20) {
        exchange(() => true);
        // One instance after the other, so that each knows what was admitted before.
        const limiter = limiters[times.now / 20 % 4];
        if (limiter && !limiter.charge(request)) {
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
        admitted += limiter && !limiter.charge(request) ? 100 : 0;
    }
    expect(admitted).toBeLessThanOrEqual(LIMIT);
    expect(admitted).toBeGreaterThan(LIMIT * 0.9);
});

test("a window is over after a suspension", () => {
    const { times, limiters, exchange } = fleet(1);
    exchange(() => true);
    const [limiter] = limiters;
    while (limiter && !limiter.charge(request)) {
        // Spends the whole limit.
    }
    expect(limiter?.charge(request)?.status).toBe(429);
    times.now += 9_000;
    expect(limiter?.charge(request)).toBeUndefined();
});
