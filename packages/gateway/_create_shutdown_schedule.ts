import { ShutdownSchedule, type TurnWatch } from "../shutdown/mod.ts";

/** Time in milliseconds after the shutdown signal during which the load balancer may still open connections. */
const DRAIN_MILLISECONDS = 2_900;
const MILLISECONDS_PER_SECOND = 1_000;

/** Creates the schedule of a shutdown whose signal is being handled. */
export function createShutdownSchedule(graceSeconds: number, turns: TurnWatch): ShutdownSchedule {
    return new ShutdownSchedule({
        signalNotBefore: turns.signalNotBefore,
        graceMilliseconds: graceSeconds * MILLISECONDS_PER_SECOND,
        drainedAt: turns.signalNotBefore + DRAIN_MILLISECONDS,
        latenessMilliseconds: () => turns.latenessMilliseconds,
    });
}
