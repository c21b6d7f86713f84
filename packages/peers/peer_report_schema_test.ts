import { expect, test } from "vitest";
import { peerReportSchema } from "./peer_report_schema.ts";

const usage = { spending: { acme: 3 }, asked: {}, assumedShare: 0, ended: { "b/1": [20, { acme: 1 }] } };
const report = {
    ...{ name: "a", incarnation: "1", address: "10.0.0.1:1", failureDomain: "north", readsStore: true },
    ...{ loads: { "engine-1": [1, 2, 3, 0, 4] }, changing: [], gone: [], crashes: [], ...usage },
};

// Guards against values in messages of other versions that loads or limits would be computed with.
test.each([
    ["a whole report", {}, true],
    ["loads that are a list", { loads: [[1, 2, 3, 0, 4]] }, false],
    ["a load with a number missing", { loads: { "engine-1": [1, 2, 3, 0] } }, false],
    ["a load with a text", { loads: { "engine-1": [1, "2", 3, 0, 4] } }, false],
    ["a load that is no list", { loads: { "engine-1": { length: 5 } } }, false],
    ["an infinite load", { loads: { "engine-1": [1, Infinity, 3, 0, 4] } }, false],
    ["no loads", { loads: undefined }, false],
    ["units that are null", JSON.parse(`{ "spending": null }`) as object, false],
    ["units that are a list", { asked: [1] }, false],
    ["units with a text", { spending: { acme: "3" } }, false],
    ["units of an ended process with a text", { ended: { "b/1": [20, { acme: "1" }] } }, false],
    ["times of arrival with a text", { arrived: { a: "1" } }, false],
])("%s", (_name, changes, expected) => {
    expect(peerReportSchema.safeParse({ ...report, ...changes }).success).toBe(expected);
});
