import { expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { type CallResult, Fleet, parseCompletion } from "../harness/mod.ts";

test("a rolling replacement of the whole fleet under load aborts no request", async () => {
    const fleet = await Fleet.start({ instances: 3, graceMilliseconds: 300 });
    try {
        await sleep(2_000);
        const loadBalancerTargets = new Set([0, 1, 2]);
        const results: CallResult[] = [];
        let stop = false;
        const callers = Array.from({ length: 8 }, async (_, caller) => {
            for (let number = 0; !stop; number++) {
                const targets = [...loadBalancerTargets];
                const index = targets[(caller + number) % targets.length] ?? 0;
                const label = `order-${caller}-${number}`;
                const call = number % 2 === 0
                    ? fleet.call(index, "/v1/completions", {
                        key: fleet.key("north"),
                        body: { model: "drafting", prompt: `Shutdown ${label}`, max_tokens: 40, stream: true },
                    })
                    : fleet.call(index, "/v1/orders", {
                        key: fleet.key("north"),
                        body: { label },
                        headers: { "idempotency-key": label },
                    });
                results.push(await call);
            }
        });
        for (const index of [0, 1, 2]) {
            const ended = fleet.instances[index]?.process.terminate();
            // The load balancer keeps sending requests for a part of the grace period.
            await sleep(100);
            loadBalancerTargets.delete(index);
            await ended;
            expect(fleet.instances[index]?.process.exitCode).toBe(0);
            await fleet.restart(index);
            loadBalancerTargets.add(index);
        }
        stop = true;
        await Promise.all(callers);
        await fleet.waitUntilConverged();
        expect(results.filter(({ broken }) => broken)).toEqual([]);
        const streams = results.filter(({ status, text }) => status === 200 && text.startsWith("data:"));
        expect(streams.filter(result => parseCompletion(result).finish === undefined)).toEqual([]);
        expect(streams.length).toBeGreaterThan(10);
    }
    finally {
        await fleet.close();
    }
});
