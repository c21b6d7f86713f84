import { expect, test } from "vitest";
import { fencingTokenOf } from "./_fencing_token_of.ts";

// Guards against a new leader whose fencing token is lower than its predecessor's, as revisions have gone back.
test("a fencing token grows from one era to the next although the revision is lower", () => {
    expect(fencingTokenOf({ era: 2, revision: 3 })).toBeGreaterThan(fencingTokenOf({ era: 1, revision: 1e9 }));
    expect(fencingTokenOf({ era: 1, revision: 31 })).toBeGreaterThan(fencingTokenOf({ era: 1, revision: 30 }));
});

test("a position that has no exact fencing token is rejected", () => {
    expect(() => fencingTokenOf({ era: 8_192, revision: 1 })).toThrow(RangeError);
    expect(() => fencingTokenOf({ era: 1, revision: 2 ** 40 })).toThrow(RangeError);
});
