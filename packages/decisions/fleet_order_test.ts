import { expect, test } from "vitest";
import type { DemandReport } from "./demand_report.ts";
import { FleetDemand } from "./fleet_demand.ts";
import { FleetOrder } from "./fleet_order.ts";
import { mergeDemand } from "./merge_demand.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const TOKENS = 3_000;
type Entries = DemandReport[string];

function createRequest(fields: Partial<WaitingRequest> = {}): WaitingRequest {
    return { service: "models", urgency: 2, tokens: TOKENS, since: 0, late: false, answerBegun: false, ...fields };
}

/** More urgent requests with two places' worth of tokens. */
const URGENT: Entries = [[0, 2, 2 * TOKENS, 100, 0]];

test.each<[string, {
    peer?: Entries;
    cells?: Entries;
    age?: number;
    places: number;
    share?: number;
    request?: Partial<WaitingRequest>;
    yields: boolean;
}]>([
    ["nobody else waits", { places: 0, yields: false }],
    ["more urgent requests take all room", { peer: URGENT, places: 2, yields: true }],
    ["room is left beside more urgent requests", { peer: URGENT, places: 3, yields: false }],
    ["less urgent requests wait", { peer: [[3, 9, 9 * TOKENS, 0, 0]], places: 1, yields: false }],
    ["equally urgent requests wait", { peer: [[2, 9, 9 * TOKENS, 0, 0]], places: 1, yields: false }],
    ["the report is late", { peer: URGENT, age: 1_400, places: 2, yields: true }],
    ["the report was lost", { peer: URGENT, age: 1_600, places: 2, yields: false }],
    ["the answer has begun", { peer: URGENT, places: 2, request: { answerBegun: true }, yields: false }],
    ["requests of other cells spread over all engines", { cells: URGENT, places: 1, share: 0.1, yields: false }],
    ["all engines are shared with other cells", { cells: URGENT, places: 2, yields: true }],
    ["large urgent requests need larger places", { peer: [[0, 1, 4 * TOKENS, 9, 0]], places: 3, yields: true }],
    ["its urgency is starved", { peer: [...URGENT, [2, 0, 0, 10, 90]], places: 0, yields: false }],
    ["its urgency is served less often", { peer: [...URGENT, [2, 0, 0, 60, 40]], places: 0, yields: true }],
])("a request leaves room to others: %s", (_name, { peer, cells, age = 0, places, share = 1, request, yields }) => {
    const demand = new FleetDemand();
    demand.recordPeer("other", peer && { models: peer }, 0);
    demand.recordOtherCells(cells && { models: cells }, 0);
    const room = { share, places: (tokens: number) => Math.floor(places * TOKENS / tokens) };
    expect(new FleetOrder(demand).mustYield(createRequest(request), () => room, age)).toBe(yields);
});

test("a starved urgency is sorted with the most urgent one until it is served", () => {
    const demand = new FleetDemand();
    const order = new FleetOrder(demand);
    demand.recordPeer("other", { models: [[0, 1, TOKENS, 100, 0], [2, 0, 0, 10, 90]] }, 0);
    expect(order.urgencyOf(createRequest(), 0)).toBe(0);
    demand.recordPeer("other", { models: [[0, 1, TOKENS, 100, 0], [2, 0, 0, 60, 40]] }, 1);
    expect(order.urgencyOf(createRequest(), 1)).toBe(2);
});

test("demand is reported while requests wait and while rates are recent, and adds up over cells", () => {
    const demand = new FleetDemand();
    expect(demand.report(0)).toBeUndefined();
    const times = { receivedAt: 0, deadline: 14_000, targetLatencyMilliseconds: 800, neededMilliseconds: 250 };
    const request = { ...createRequest({ urgency: 1 }), ...times };
    const leaves = [demand.enter(request), demand.enter(request)];
    expect(demand.report(600)).toBeUndefined();
    expect(demand.report(0)).toEqual({ models: [[1, 2, 2 * TOKENS, 0, 0]] });
    leaves.forEach(leave => leave("granted", 0));
    leaves.forEach(leave => leave("refused", 0));
    const [[, waiting, tokens, granted, refused] = []] = demand.report(0)?.["models"] ?? [];
    expect({ waiting, tokens, refused }).toEqual({ waiting: 0, tokens: 0, refused: 0 });
    expect(granted).toBeGreaterThan(0);
    expect(mergeDemand([demand.summarise(0), { models: [[1, 1, 5, 0, 0], [0, 1, 7, 0, 0]] }, undefined])).toEqual({
        models: [[0, 1, 7, 0, 0], [1, 1, 5, granted, 0]],
    });
    expect(demand.report(60_000)).toBeUndefined();
});
