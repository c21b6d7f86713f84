import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { type EngineSpeeds, ReferencePace } from "../speeds/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { RunPace } from "./run_pace.ts";

const FIRST_MILLISECONDS = 100;
const PAUSE_MILLISECONDS = 15;

let recorded: number[];
let reference: ReferencePace;

beforeEach(() => {
    vi.useFakeTimers();
    recorded = [];
    reference = new ReferencePace();
});

afterEach(() => {
    vi.useRealTimers();
});

/** Plays a run whose times are longer than the usual ones by a factor. */
function run(factor: number, { events = 20, active = 4, isWhole = true, completed = true } = {}): void {
    const request = { exchange: { events: 0 }, promptTokens: 3_000, service: { name: "models" } };
    const engineSpeeds = { record: (_: unknown, __: unknown, logarithm: number) => recorded.push(logarithm) };
    const pace = new RunPace({
        request: request as unknown as GatewayRequest,
        reservation: { server: { id: "engine-0" } } as DecodeReservation,
        active,
        isWhole,
        engineSpeeds: engineSpeeds as unknown as EngineSpeeds,
        reference,
    });
    for (let event = 0; event < events; event++) {
        vi.advanceTimersByTime(factor * (event === 0 ? FIRST_MILLISECONDS : PAUSE_MILLISECONDS));
        pace.recordEvent();
        request.exchange.events++;
    }
    pace.recordOutcome(completed ? { kind: "completed" } : { kind: "broken", message: "The stream broke off" });
}

function runUsual(options: Parameters<typeof run>[1] = {}): void {
    for (let count = 0; count < 10; count++) {
        run(1, options);
    }
    recorded = [];
}

test("the first event and the pauses of a run are compared with those of other runs", () => {
    runUsual();
    run(2);
    expect(recorded.map(logarithm => Math.round(Math.exp(logarithm) * 100) / 100)).toEqual([0.5, 0.5]);
});

test.each([
    ["under another load", { active: 16 }],
    ["that were resumed or computed their prompts", { isWhole: false }],
    ["that broke off", { completed: false }],
])("runs %s are not compared", (_, options) => {
    runUsual();
    run(2, options);
    expect(recorded).toEqual([]);
});

test("the pauses of a short run say nothing", () => {
    runUsual();
    run(2, { events: 5 });
    expect(recorded).toHaveLength(1);
});
