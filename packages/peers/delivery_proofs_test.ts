import { expect, test } from "vitest";
import { DeliveryProofs } from "./delivery_proofs.ts";

const PERIOD = 1_250;
const self = { incarnation: "self" };
const peer = { incarnation: "peer" };

// Guards against a connection that is taken to deliver although nothing proves it, and against needless probes.
test.each([
    ["without a report", {}, true, 2_000, true],
    ["after a report without a proof", { sentAt: 7 }, true, 2_000, true],
    ["after a proof", { arrived: { self: 1_900 } }, true, 2_000, false],
    ["after a proof for another process", { arrived: { other: 1_900 } }, true, 2_000, true],
    [
        "after a proof from later than now, which is of a former process",
        { arrived: { self: 9_000 } },
        true,
        2_000,
        true,
    ],
    ["after a proof that is too old", { arrived: { self: 700 } }, true, 2_000, true],
    ["after a proof, on a connection that has ended", { arrived: { self: 1_900 } }, false, 2_000, true],
])("a probe %s", (_name, report, connected, now, expected) => {
    const proofs = new DeliveryProofs(self, () => now);
    proofs.record({ ...peer, ...report });
    expect(proofs.takeDue(peer, PERIOD, connected)).toBe(expected);
    expect(proofs.takeDue(peer, PERIOD, connected)).toBe(false);
});

test("a report returns the times of peers' reports and forgets processes that are no longer peers", () => {
    const proofs = new DeliveryProofs(self, () => 100.5);
    proofs.record({ ...peer, sentAt: 5 });
    proofs.record({ incarnation: "ended", sentAt: 6 });
    expect(proofs.createFields([peer])).toEqual({ sentAt: 100, arrived: { peer: 5 } });
});
