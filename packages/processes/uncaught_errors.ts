import type { Logger } from "../logs/mod.ts";
import { describeError } from "./describe_error.ts";
import type { ProcessEnd } from "./process_end.ts";

const STOPPED_EXIT_CODE = 70;

/**
 * The rule for exceptions and rejections that nobody catches: each is logged and counted, and the process goes on. An end
 * would reset every request under way over a fault of one of them, and callers that cause the fault again would end one
 * instance after the other. What instances share does not depend on the end: its changes run in calls and tasks that
 * catch their own errors, and its invariants are checked at each change.
 *
 * @example
 * ```ts
 * const errors = new UncaughtErrors(createLogger("instance-1"), end);
 * errors.stopAtNext();
 * ```
 */
export class UncaughtErrors {
    static #count = 0;
    #stops = false;

    /**
     * Sets the rule for this process.
     *
     * @param logger Gets a line for each error.
     * @param end Ends the process if it is asked to stop.
     */
    constructor(logger: Logger, end: ProcessEnd) {
        // Without a handler of its own, an unhandled rejection is passed on as an uncaught exception.
        process.on("uncaughtException", (error: unknown, origin) => {
            UncaughtErrors.#count++;
            const message = origin === "unhandledRejection" ? "unhandled rejection" : "uncaught exception";
            logger.error(message, { error: describeError(error), count: UncaughtErrors.#count });
            if (this.#stops) {
                end.exit(STOPPED_EXIT_CODE, `${message}: ${describeError(error)}`);
            }
        });
    }

    /** Number of errors that nobody has caught in this process. */
    static get count(): number {
        return UncaughtErrors.#count;
    }

    /** Ends the process with code 70 at the next error, for fleets in which a fault must not stay unseen. */
    stopAtNext(): void {
        this.#stops = true;
    }
}
