/**
 * Creates a configuration in the platform's format: a plain service `orders` and a model service `models`.
 *
 * @param version Its version.
 * @param changes Fields that differ.
 * @returns The configuration; times in milliseconds unless their names say seconds.
 */
export function createConfiguration(version: number, changes: Record<string, unknown> = {}): Record<string, unknown> {
    const route = { Host: "app.example", Public: false, Priority: 2, MaxAttempts: 2, TimeoutMs: 1_500 };
    const stream = {
        ...route,
        Priority: 1,
        TimeoutMs: 14_000,
        Kind: "streaming",
        Service: "models",
        TargetLatencyMs: 900,
        TargetGapMs: 300,
    };
    const tenant = { Unit: "token_stream", PlainTokens: 200, RatePerS: 0, Burst: 0 };
    return {
        Version: version,
        Routes: [
            { ...route, Name: "r1", PathPrefix: "/status/", Kind: "idempotent", Service: "orders" },
            { ...route, Name: "r2", PathPrefix: "/order/", Kind: "non_idempotent", Service: "orders", MaxAttempts: 1 },
            { ...stream, Name: "r3", PathPrefix: "/draft/", Resumable: true },
            { ...stream, Name: "r4", PathPrefix: "/plan/", Resumable: false, MaxAttempts: 1 },
        ],
        Services: [
            { Name: "orders", HealthPath: "/health" },
            {
                Name: "models",
                HealthPath: "/health",
                ColdPerS: 16,
                ColdStartS: 3,
                Engine: { Slots: 128, KvCapacity: 33_505, HandleTtlS: 0.5, RoleSwitchS: 6, HoldMs: 2_000 },
            },
        ],
        Limits: { MaxHeaderBytes: 8_192, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [{ ...tenant, Name: "acme", ApiKeys: ["key-a"] }, { ...tenant, Name: "other", ApiKeys: ["key-b"] }],
        ...changes,
    };
}
