import { expect, test } from "vitest";
import type { FleetConfiguration } from "../directory/mod.ts";
import { computeEnginePriority } from "./compute_engine_priority.ts";
import { computeUrgency } from "./compute_urgency.ts";
import { ServiceUrgencies } from "./service_urgencies.ts";

type RouteFields = [priority: number, kind?: string, open?: boolean];

function createUrgencies(routes: RouteFields[], organisations?: (number | undefined)[]): ServiceUrgencies {
    const configuration = {
        routes: routes.map(([priority, kind = "stream", open = false]) => ({
            priority,
            kind,
            open,
            services: [{ service: "models", weight: 1 }],
        })),
        organisations: organisations?.map(priority => ({ priority })),
    } as unknown as FleetConfiguration;
    return new ServiceUrgencies(() => configuration);
}

test.each<[string, RouteFields[], (number | undefined)[] | undefined, [number, number?], number | undefined]>([
    ["one priority", [[1], [1]], [undefined], [1], undefined],
    ["another priority of requests that are not streams", [[1], [2, "idempotent"]], undefined, [1], undefined],
    ["three priorities of routes", [[0], [1], [2]], [undefined], [2], 2],
    ["an organisation's own priority", [[1]], [undefined, 0], [1], 1],
    ["one priority of all organisations", [[1]], [0, 0], [1, 0], undefined],
    ["priorities of routes below one of all organisations", [[0], [1], [2]], [1, 1], [2, 1], 2],
    ["a more urgent organisation on a less urgent route", [[0], [2]], [0, 1], [2, 0], 1],
    ["an open route beside organisations", [[1, "stream", true], [1]], [0], [1], 1],
    ["a priority that no route has", [[0], [5]], undefined, [3], 1],
    ["more urgencies than ranks", [[0], [1], [2], [3], [4], [5], [6], [7], [8], [9]], undefined, [9], 4],
])("rank with %s", (_name, routes, organisations, priorities, rank) => {
    expect(createUrgencies(routes, organisations).rank("models", computeUrgency(priorities[0], priorities[1]))).toBe(
        rank,
    );
});

test("an engine serves late requests after all that are on time", () => {
    const order = [[0, false], [1, false], [4, false], [0, true], [4, true]] as const;
    expect(order.map(([rank, isLate]) => computeEnginePriority(rank, isLate))).toEqual([0, 1, 4, 5, 9]);
});
