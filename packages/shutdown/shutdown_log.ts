import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { TurnWatch } from "./turn_watch.ts";

/**
 * Writes a line as each step of a shutdown begins, so that the last line of a killed process tells in which step it was.
 *
 * @example
 * ```ts
 * const log = new ShutdownLog(logger, turns);
 * log.begin("last calls", performance.now() + 300);
 * ```
 */
export class ShutdownLog {
    #step: { name: string; startedAt: number; } | undefined;

    /**
     * @param logger Gets the lines.
     * @param turns Tells how late turns of the event loop come.
     * @param startedAt Monotonic time in milliseconds from which the shutdown counts.
     */
    constructor(
        private readonly logger: Logger,
        private readonly turns: TurnWatch,
        private readonly startedAt: number = turns.signalNotBefore,
    ) {}

    /**
     * Writes the line of a step.
     *
     * @param step Name of the step.
     * @param dueAt Monotonic time in milliseconds by which the step is to end, if that is known.
     */
    begin(step: string, dueAt?: number): void {
        const now = monotonicMilliseconds();
        const before = this.#step;
        this.#step = { name: step, startedAt: now };
        this.logger.info("shutdown step", {
            step,
            afterMilliseconds: Math.round(now - this.startedAt),
            ...dueAt !== undefined && { dueAfterMilliseconds: Math.round(dueAt - this.startedAt) },
            latenessMilliseconds: Math.round(this.turns.latenessMilliseconds),
            ...before && { stepBefore: before.name, stepBeforeMilliseconds: Math.round(now - before.startedAt) },
        });
    }
}
