import { expect, test } from "vitest";
import { ShutdownSchedule } from "./shutdown_schedule.ts";
import type { ShutdownStep } from "./shutdown_step.ts";

const STEPS: ShutdownStep[] = ["close of the port", "last answers", "last calls", "exit"];
/** Time in milliseconds for which the load balancer may open connections. */
const DRAIN_MILLISECONDS = 2_900;

let now = 0;

/** Creates the schedule of a process whose signal was sent at 0 and is handled late. */
function create(graceMilliseconds: number, lateness: number): ShutdownSchedule {
    return new ShutdownSchedule({
        signalNotBefore: 0,
        graceMilliseconds,
        drainedAt: lateness + DRAIN_MILLISECONDS,
        latenessMilliseconds: () => lateness,
    }, () => now);
}

// Guards against steps of a shutdown that add up to the whole grace period, so that the process is killed in the last one.
test.each(
    [1_000, 2_000, 4_000, 8_000, 60_000, 3_600_000].flatMap(grace =>
        [0, 20, 100, 150, 500, 1_500, 5_000].map(lateness => [grace, lateness] as const)
    ),
)(
    "with a grace of %d ms and turns %d ms late, all steps end within the grace, whenever they begin",
    (grace, lateness) => {
        const schedule = create(grace, lateness);
        const starts = STEPS.map(step => schedule.startOf(step));
        expect(starts).toEqual([...starts].sort((a, b) => a - b));
        expect(starts[0]).toBeGreaterThanOrEqual(0);
        for (let part = 0; part < 100; part++) {
            now = grace * part / 100;
            for (const step of STEPS) {
                const end = schedule.endOf(step);
                expect(end).toBeGreaterThan(now);
                now = Math.max(now, end);
                expect(now).toBeLessThanOrEqual(grace);
            }
        }
    },
);

// Guards against changes of shutdowns that get their processor time, and of the time in which the balancer looks away.
test.each([
    [8_000, 0, [6_800, 7_300, 7_500, 7_800]],
    [8_000, 150, [6_800, 7_300, 7_500, 7_800]],
    [8_000, 200, [6_600, 7_200, 7_450, 7_750]],
    [8_000, 1_000, [3_900, 5_586, 6_391, 7_195]],
    [8_000, 5_000, [6_800, 7_283, 7_522, 7_761]],
    [3_600_000, 0, [3_598_800, 3_599_300, 3_599_500, 3_599_800]],
    [3_600_000, 1_000, [3_594_650, 3_596_850, 3_597_900, 3_598_950]],
    [1_000, 0, [0, 417, 583, 833]],
])("with a grace of %d ms and turns %d ms late, steps begin at %j ms at the latest", (grace, lateness, starts) => {
    const schedule = create(grace, lateness);
    expect(STEPS.map(step => Math.round(schedule.startOf(step)))).toEqual(starts);
});

// Guards against connections that are reset since a process that stood still beyond its grace has no time for its queue.
test("a process that has not been killed at the end of its grace takes the usual times", () => {
    now = 9_000;
    const schedule = create(8_000, 6_000);
    expect(STEPS.map(step => schedule.endOf(step) - now)).toEqual([500, 200, 300, 200]);
});
