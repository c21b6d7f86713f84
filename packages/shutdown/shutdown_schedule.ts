import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { ShutdownStep } from "./shutdown_step.ts";

/** Time of a step at the end of a shutdown. */
interface StepTime {
    readonly step: ShutdownStep;
    /** Time in milliseconds in a process that gets the processor time it needs, with what other processes may take. */
    readonly milliseconds: number;
    /** Time in milliseconds that the process itself works. */
    readonly workMilliseconds: number;
    /** Number of late turns that the step has to outlast. */
    readonly lateTurns: number;
}

const STEPS: readonly StepTime[] = [
    { step: "close of the port", milliseconds: 500, workMilliseconds: 200, lateTurns: 2 },
    { step: "last answers", milliseconds: 200, workMilliseconds: 50, lateTurns: 1 },
    { step: "last calls", milliseconds: 300, workMilliseconds: 50, lateTurns: 1 },
    { step: "exit", milliseconds: 200, workMilliseconds: 50, lateTurns: 1 },
];

/** What a shutdown has to keep to. */
interface ShutdownBounds {
    /** Monotonic time in milliseconds before which the signal had not been sent. */
    signalNotBefore: number;
    /** Time in milliseconds after the signal at which the process is killed. */
    graceMilliseconds: number;
    /** Monotonic time in milliseconds until which the load balancer may still open connections. */
    drainedAt: number;
    /** Tells how late turns of the event loop come, in milliseconds. */
    latenessMilliseconds: () => number;
}

/**
 * Allots the end of the grace period to the last steps of a shutdown, backwards from the time at which the process is
 * killed. Steps get more time if turns of the event loop come late, as far as the load balancer has noticed that the
 * instance leaves; if the grace period is too short for them, all get less. A step that begins late takes its part of the
 * time that is left. So each step's end, and the sum of all, comes before the end of the grace period.
 *
 * @example
 * ```ts
 * const schedule = new ShutdownSchedule({
 *     signalNotBefore: turns.signalNotBefore,
 *     graceMilliseconds: 8_000,
 *     drainedAt: performance.now() + 2_900,
 *     latenessMilliseconds: () => turns.latenessMilliseconds,
 * });
 * await sleep(schedule.startOf("close of the port") - performance.now());
 * ```
 */
export class ShutdownSchedule {
    readonly #killedAt: number;

    /**
     * @param bounds What the shutdown has to keep to.
     * @param now Source of monotonic time in milliseconds.
     */
    constructor(
        private readonly bounds: ShutdownBounds,
        private readonly now: () => number = monotonicMilliseconds,
    ) {
        this.#killedAt = bounds.signalNotBefore + bounds.graceMilliseconds;
    }

    /** Monotonic time in milliseconds until which the load balancer may still open connections. */
    get drainedAt(): number {
        return this.bounds.drainedAt;
    }

    /**
     * Returns when a step begins at the latest.
     *
     * @param step The step.
     * @returns Monotonic time in milliseconds; earlier than before if a turn has come later than those before.
     */
    startOf(step: ShutdownStep): number {
        return Math.max(this.bounds.signalNotBefore, this.#killedAt - sumOf(this.#allotmentsFrom(step)));
    }

    /**
     * Returns by when a step that begins now is to end. A step that begins early takes no longer than one that begins at the
     * latest; one that begins later takes its part of the time that is left.
     *
     * @param step The step.
     * @returns Monotonic time in milliseconds.
     */
    endOf(step: ShutdownStep): number {
        const now = this.now();
        const allotments = this.#allotmentsFrom(step);
        const [own = 0] = allotments;
        const left = this.#killedAt - now;
        if (left <= 0) {
            // Nobody has killed the process, so nothing is known about the time that is left.
            return now + (STEPS.find(entry => entry.step === step)?.milliseconds ?? 0);
        }
        return now + own * Math.min(1, left / sumOf(allotments));
    }

    /** Returns the times in milliseconds that are allotted to a step and those after it. */
    #allotmentsFrom(step: ShutdownStep): number[] {
        const { graceMilliseconds, drainedAt, latenessMilliseconds } = this.bounds;
        const lateness = latenessMilliseconds();
        const wanted = STEPS.map(({ milliseconds, workMilliseconds, lateTurns }) =>
            Math.max(milliseconds, workMilliseconds + lateTurns * lateness)
        );
        const least = Math.min(sumOf(STEPS.map(({ milliseconds }) => milliseconds)), graceMilliseconds);
        const available = Math.max(least, this.#killedAt - drainedAt);
        const scale = Math.min(1, available / sumOf(wanted));
        return wanted.slice(STEPS.findIndex(entry => entry.step === step)).map(milliseconds => milliseconds * scale);
    }
}

function sumOf(times: number[]): number {
    return times.reduce((sum, milliseconds) => sum + milliseconds, 0);
}
