import { expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { ShutdownLog, ShutdownSchedule, TurnWatch } from "../shutdown/mod.ts";
import { drainCallers } from "./drain_callers.ts";
import type { GatewayServer } from "./gateway_server.ts";

const GRACE_MILLISECONDS = 3_000;
/** Time in milliseconds by which the last sixth of the grace period has begun. */
const LAST_SIXTH_MILLISECONDS = GRACE_MILLISECONDS * 5 / 6;

// Guards against streams that a late process cuts long before its end, although only its refusals need the time.
test("a late process refuses requests without an answer early, and lets answers go on that have begun", async () => {
    const startedAt = monotonicMilliseconds();
    const events: [string, number][] = [];
    const record = (event: string) => events.push([event, monotonicMilliseconds() - startedAt]);
    const server = {
        active: 1,
        connections: { awaitingRequest: 0, closing: 0, closeIdle: () => Promise.resolve() },
        portCloser: { close: () => Promise.resolve() },
        refuseDeadlinesAfter: () => {},
        abortUnanswered: () => record("refused"),
        abortActive: () => record("aborted"),
    } as unknown as GatewayServer;
    const schedule = new ShutdownSchedule({
        signalNotBefore: startedAt,
        graceMilliseconds: GRACE_MILLISECONDS,
        drainedAt: startedAt + 100,
        latenessMilliseconds: () => 500,
    });
    const logger = { info: () => {}, warn: () => {}, error: () => {} };
    const turns = new TurnWatch();
    await drainCallers(server, schedule, new ShutdownLog(logger, turns), logger);
    turns.close();
    expect(events.map(([event]) => event)).toEqual(["refused", "aborted"]);
    expect(events[0]?.[1]).toBeLessThan(LAST_SIXTH_MILLISECONDS);
    expect(events[1]?.[1]).toBeGreaterThanOrEqual(schedule.startOf("last answers") - startedAt);
});
