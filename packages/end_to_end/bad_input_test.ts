import { afterAll, beforeAll, expect, test } from "vitest";
import { Fleet } from "../harness/mod.ts";

let fleet: Fleet;

beforeAll(async () => {
    fleet = await Fleet.start({
        instances: 1,
        organisations: {
            north: { tokensPerSecond: 10_000, burstTokens: 60_000, weight: 1, labels: {} },
            tiny: { tokensPerSecond: 100, burstTokens: 300, weight: 1, labels: {} },
        },
    });
});

afterAll(async () => {
    await fleet.close();
});

const validBody = { model: "drafting", prompt: "Hello", max_tokens: 5 };

test.each([
    ["{ not json", 400, "malformed-request"],
    [{ ...validBody, prompt: 7 }, 400, "malformed-request"],
    [{ ...validBody, max_tokens: -1 }, 400, "malformed-request"],
    [{ ...validBody, model: "unheard-of" }, 404, "model-unknown"],
    [{ ...validBody, model: "__proto__" }, 404, "model-unknown"],
    [{ ...validBody, max_tokens: 70_000 }, 400, "prompt-too-large"],
    [{ ...validBody, prompt: "word".repeat(64_000) }, 400, "prompt-too-large"],
    [{ ...validBody, prompt: "x".repeat(5_000_000) }, 413, "body-too-large"],
])("an invalid body is refused with its reason (case %#)", async (body, status, reason) => {
    const result = await fleet.call(0, "/v1/completions", { key: fleet.key("north"), body });
    expect(result).toMatchObject({ status, reason, verdict: "not-run" });
    expect(result.json).toMatchObject({ error: { message: expect.stringMatching(/\w/) } });
});

test("a request that can never be served is refused without Retry-After", async () => {
    const body = { ...validBody, max_tokens: 1_000 };
    const result = await fleet.call(0, "/v1/completions", { key: fleet.key("tiny"), body });
    expect(result).toMatchObject({ status: 400, reason: "burst-exceeded", retryAfter: undefined, verdict: "not-run" });
});

test("unknown keys, paths and methods are refused", async () => {
    const key = fleet.key("north");
    expect(await fleet.call(0, "/v1/models")).toMatchObject({ status: 401, reason: "key-missing" });
    expect(await fleet.call(0, "/v1/models", { key: "constructor" })).toMatchObject({
        status: 401,
        reason: "key-unknown",
    });
    expect(await fleet.call(0, "/v1/nowhere", { key })).toMatchObject({ status: 404, reason: "route-unknown" });
    expect(await fleet.call(0, "/v1/completions", { key })).toMatchObject({ status: 405 });
});

test("refusals are counted by reason, other requests are served, and no API key or prompt is logged", async () => {
    const result = await fleet.call(0, "/v1/completions", { key: fleet.key("north"), body: validBody });
    expect(result.status).toBe(200);
    expect(await fleet.sumMetric(0, 'refusals_total{reason="malformed-request"')).toBeGreaterThan(0);
    const log = await fleet.log(0);
    expect(log).not.toContain(fleet.key("north"));
    expect(log).not.toContain("Hello");
    const lines = log.trim().split("\n").map(line => JSON.parse(line) as { message: string; });
    expect(lines.some(({ message }) => message === "request")).toBe(true);
});
