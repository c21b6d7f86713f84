import { expect, test } from "vitest";
import { streamKey } from "./_stream_key.ts";
import { StreamOrigins } from "./stream_origins.ts";

const [older, newer] = ["v1", "v2"].map(version => ({ service: "models", version }));

// Guards against the wrong one of two records: a stream whose first event got lost on the way from a peer begins anew elsewhere.
test.each([
    ["begun here", (origins: StreamOrigins) => origins.begin("s1", newer!)],
    ["read", (origins: StreamOrigins) => origins.learn(new Map([[streamKey("s1"), newer!]]), 1, true)],
])("a stream (%s) of which a record names another version is not known", (_name, know) => {
    const origins = new StreamOrigins({ now: () => 0 }, 64_000);
    know(origins);
    origins.learn(new Map([[streamKey("s1"), { ...newer! }]]), 1, true);
    expect(origins.find("s1")?.origin).toEqual(newer);
    origins.learn(new Map([[streamKey("s1"), older!]]), 1, true);
    expect(origins.find("s1")).toBeUndefined();
    origins.learn(new Map([[streamKey("s1"), newer!]]), 1, true);
    expect(origins.find("s1")).toBeUndefined();
});
