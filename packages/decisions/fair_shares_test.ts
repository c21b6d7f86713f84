import { expect, test } from "vitest";
import { computeFairLevel } from "./compute_fair_level.ts";
import { FairShares } from "./fair_shares.ts";
import { FleetDemand } from "./fleet_demand.ts";
import type { OrganisationRate } from "./organisation_rate.ts";

test.each<[string, [weight: number, askedRate: number][], number, number]>([
    ["room for all", [[1, 10], [1, 70]], 80, Number.POSITIVE_INFINITY],
    ["one asks for more than the rest", [[1, 10], [1, 70]], 50, 40],
    ["weights", [[1, 60], [3, 90]], 80, 20],
    ["all ask for more than there is", [[1, 60], [1, 90]], 80, 40],
    ["an organisation without a limit", [[0, 60], [1, 90]], 80, 80],
])("fair level with %s", (_name, rates, capacity, level) => {
    const organisations = rates.map(([weight, askedRate], index) => ({ name: String(index), weight, askedRate }));
    expect(computeFairLevel(organisations, capacity)).toBeCloseTo(level);
});

test.each([
    ["room is not short", 0, 0],
    ["half of the demand is refused", 100, 0.71],
])("the part of a hot organisation's requests beyond its share when %s", (_name, refusedRate, part) => {
    const demand = new FleetDemand();
    demand.recordPeer("other", { models: [[0, 0, 0, 100, refusedRate]] }, 0);
    const rates: OrganisationRate[] = [{ name: "hot", weight: 1, askedRate: 70 }, {
        name: "calm",
        weight: 1,
        askedRate: 10,
    }];
    rates.push({ name: "usual", weight: 1, askedRate: 20 });
    const shares = new FairShares(demand, () => rates, 5);
    const count = (name: string) =>
        Array.from({ length: 1_000 }, () => shares.isBeyondShare("models", name, 0)).filter(Boolean);
    expect(count("hot").length / 1_000).toBeCloseTo(part, 1);
    expect(count("calm")).toHaveLength(0);
    expect(count("unknown")).toHaveLength(0);
});
