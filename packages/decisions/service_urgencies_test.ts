import { expect, test } from "vitest";
import type { FleetConfiguration } from "../directory/mod.ts";
import { computeEnginePriority } from "./compute_engine_priority.ts";
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

test.each<[string, RouteFields[], (number | undefined)[] | undefined, number, number | undefined]>([
    ["one priority", [[1], [1]], [undefined], 1, undefined],
    ["another priority of requests that are not streams", [[1], [2, "idempotent"]], undefined, 1, undefined],
    ["three priorities", [[0], [1], [2]], [undefined], 2, 2],
    ["an organisation's own priority", [[1]], [undefined, 0], 1, 1],
    ["one priority of all organisations", [[1], [2]], [0, 0], 0, undefined],
    ["an open route beside organisations", [[1, "stream", true], [1]], [0], 1, 1],
    ["a priority that no route has", [[0], [5]], undefined, 3, 1],
])("rank with %s", (_name, routes, organisations, priority, rank) => {
    expect(createUrgencies(routes, organisations).rank("models", priority)).toBe(rank);
});

test("an engine serves late requests after those on time and before less urgent ones", () => {
    const order = [[0, false], [0, true], [1, false], [4, false], [4, true]] as const;
    expect(order.map(([rank, isLate]) => computeEnginePriority(rank, isLate))).toEqual([0, 1, 2, 8, 9]);
    expect(computeEnginePriority(20, true)).toBe(9);
});
