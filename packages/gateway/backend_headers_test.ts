import { expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";

const NAMES = { remainingMilliseconds: "remaining", expectedServer: "expected", enginePriority: "engine-priority" };
/** Longer than the target latency. */
const LATE_MILLISECONDS = 900;

test.each<
    [string, Partial<GatewayRequest>, { sinceMilliseconds?: number; headersSent?: boolean; }, string | undefined]
>([
    ["none of a service with a single urgency", {}, {}, undefined],
    ["its rank while it can meet its target", { urgencyRank: 1 }, {}, "1"],
    [
        "one after all on time once the target has passed",
        { urgencyRank: 1 },
        { sinceMilliseconds: LATE_MILLISECONDS },
        "6",
    ],
    ["one after all on time if memory came too late", { urgencyRank: 1, isLate: true }, {}, "6"],
    ["its rank once its answer has begun", { urgencyRank: 1, isLate: true }, { headersSent: true }, "1"],
])("an engine is told the priority of a request: %s", (_name, fields, state, priority) => {
    const now = monotonicMilliseconds();
    const request = {
        headers: [],
        receivedAt: now - (state.sinceMilliseconds ?? 0),
        deadline: now + 10_000,
        route: { targetLatencyMilliseconds: 800 },
        response: { headersSent: state.headersSent ?? false },
        isLate: false,
        ...fields,
    } as unknown as GatewayRequest;
    const headers = backendHeaders(request, { id: "a" } as RegisteredServer, NAMES as ProtocolHeaders);
    const index = headers.indexOf(NAMES.enginePriority);
    expect(index < 0 ? undefined : headers[index + 1]).toBe(priority);
});
