import { expect, test } from "vitest";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { OrganisationLimiter } from "./organisation_limiter.ts";

test("a request whose organisation is removed while it waits is refused, without an endless time to retry", async () => {
    const organisations: Record<string, { tokensPerSecond: number; burstTokens: number; }> = {
        north: { tokensPerSecond: 300, burstTokens: 3_000 },
    };
    const configuration = { document: { organisations } } as unknown as ConfigurationState;
    const membership = { homeOf: () => ({ name: "a", incarnation: "1", address: "127.0.0.1:1" }) };
    let charges = 0;
    const pool = {
        call: async () => {
            charges++;
            delete organisations["north"];
            return { isErr: () => false, value: { active: true, granted: 0, level: 0 } };
        },
        notify: async () => {},
    };
    const limiter = new OrganisationLimiter(
        membership as unknown as Membership,
        pool as unknown as InstancePool,
        configuration,
    );
    const refusal = (await limiter.charge("north", "request-1", 500))._unsafeUnwrapErr();
    expect(charges).toBeGreaterThan(0);
    expect(refusal).toMatchObject({ status: 403, reason: "key-unknown" });
    expect(refusal.retryAfterSeconds).toBeUndefined();
});
