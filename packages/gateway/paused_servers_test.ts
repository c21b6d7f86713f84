import { expect, test } from "vitest";
import type { Logger } from "../logs/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { PausedServers } from "./paused_servers.ts";

const MAXIMUM_MILLISECONDS = 60_000;

function create() {
    const clock = { time: 0 };
    const metrics = new Metrics();
    const lines: Record<string, unknown>[] = [];
    const log = (message: string, fields?: object) => lines.push({ message, ...fields });
    const logger = { info: log, warn: log, error: log } as Logger;
    const now = () => clock.time;
    const paused = new PausedServers({ maximumMilliseconds: () => MAXIMUM_MILLISECONDS, metrics, logger, now });
    return { clock, metrics, lines, paused };
}

const server = { id: "first", startedAt: 1 };

test("a pause lasts until its end, is not shortened, and ends with another start of the server", () => {
    const { clock, paused } = create();
    paused.record(server, "2", undefined);
    clock.time = 500;
    paused.record(server, "1", undefined);
    expect(paused.remainingMilliseconds(server)).toBe(1_500);
    paused.record(server, "2.5", undefined);
    expect(paused.remainingMilliseconds(server)).toBe(2_500);
    expect(paused.remainingMilliseconds({ ...server, startedAt: 2 })).toBe(0);
    clock.time = 3_000;
    expect(paused.remainingMilliseconds(server)).toBe(0);
});

// Guards against more than two requests to a server within its pause, which was replaced by one of its former start while an older
// copy of the store had brought that one's entry back.
test("an answer under the entry of a former start leaves the pause of the present one", () => {
    const { clock, paused } = create();
    const former = { ...server, startedAt: 0 };
    paused.record(server, "2", undefined);
    paused.record(former, "1", undefined);
    clock.time = 500;
    expect([server, former].map(start => paused.remainingMilliseconds(start))).toEqual([1_500, 500]);
});

test("a date refers to the clock of the server", () => {
    const { paused } = create();
    paused.record(server, "Sun, 06 Nov 1994 08:49:40 GMT", "Sun, 06 Nov 1994 08:49:37 GMT");
    expect(paused.remainingMilliseconds(server)).toBe(3_000);
});

// Guards against a server that is out of use for good since it asked for a pause of years, or for one of no time.
test("a long pause is capped, values of no use have no effect, and each is counted and logged", () => {
    const { metrics, lines, paused } = create();
    for (const value of ["0", "-1", "soon"]) {
        paused.record(server, value, undefined);
    }
    expect(paused.remainingMilliseconds(server)).toBe(0);
    paused.record(server, "9".repeat(400), undefined);
    expect(paused.remainingMilliseconds(server)).toBe(MAXIMUM_MILLISECONDS);
    const count = (result: string) => metrics.count("server_pauses_total", { result });
    expect(["none", "malformed", "capped", "kept"].map(count)).toEqual([2, 1, 1, 0]);
    expect(lines).toHaveLength(4);
});
