import { monotonicMilliseconds } from "../clocks/mod.ts";
import { countIndependentCrashes } from "./_count_independent_crashes.ts";
import type { CrashedRun } from "./crashed_run.ts";

/** Time in milliseconds for which a crash counts. */
const CRASH_LIFETIME_MILLISECONDS = 120_000;
const MAXIMUM_CRASHES = 128;

/** Runs of the last two minutes that ended with a crash of their server, with the parts that are still suspected. */
export class CrashLog {
    #runs: CrashedRun[] = [];

    /**
     * Returns the runs that count.
     *
     * @returns The runs in the order in which they became known.
     */
    runs(): readonly CrashedRun[] {
        const oldest = monotonicMilliseconds() - CRASH_LIFETIME_MILLISECONDS;
        this.#runs = this.#runs.filter(({ endedAt }) => endedAt > oldest);
        return this.#runs;
    }

    /**
     * Adds a run.
     *
     * @param run The run.
     * @returns Whether it was not known and has suspected parts.
     */
    add(run: CrashedRun): boolean {
        const oldest = monotonicMilliseconds() - CRASH_LIFETIME_MILLISECONDS;
        // Reports may be held up, so crashes are told apart by the starts of the servers and not by times.
        const isKnown = this.#runs.some(({ server, startedAt, parts }) =>
            server === run.server && startedAt === run.startedAt && run.parts.every(part => parts.includes(part))
        );
        if (run.parts.length === 0 || isKnown || run.endedAt <= oldest) {
            return false;
        }
        this.#runs.push(run);
        if (this.#runs.length > MAXIMUM_CRASHES) {
            this.#runs.shift();
        }
        return true;
    }

    /**
     * Returns whether a part is suspected.
     *
     * @param part The part.
     * @returns Whether it is.
     */
    has(part: string): boolean {
        return this.#runs.some(({ parts }) => parts.includes(part));
    }

    /**
     * Removes a part from the suspected ones.
     *
     * @param part The part.
     */
    removePart(part: string): void {
        this.#runs = this.#runs
            .map(run => ({ ...run, parts: run.parts.filter(other => other !== part) }))
            .filter(({ parts }) => parts.length > 0);
    }

    /**
     * Counts the independent crashes that a part was suspected in.
     *
     * @param part The part.
     * @returns The number of crashes.
     */
    countCrashes(part: string): number {
        return countIndependentCrashes(this.#runsWith(part));
    }

    /**
     * Returns whether another part was suspected in each crash of this one and in more of them.
     *
     * @param part The part.
     * @returns Whether there is such a part.
     */
    isExplained(part: string): boolean {
        const runs = this.#runsWith(part);
        const [first] = runs;
        const count = countIndependentCrashes(runs);
        return first?.parts.some(other =>
            other !== part && runs.every(({ parts }) => parts.includes(other)) && this.countCrashes(other) > count
        ) ?? false;
    }

    /**
     * Returns whether another part was suspected in each crash of this one, so that either may be the cause.
     *
     * @param part The part.
     * @returns Whether there is such a part.
     */
    isAmbiguous(part: string): boolean {
        const runs = this.#runsWith(part);
        return runs[0]?.parts.some(other => other !== part && runs.every(({ parts }) => parts.includes(other)))
            ?? false;
    }

    #runsWith(part: string): CrashedRun[] {
        return this.runs().filter(({ parts }) => parts.includes(part));
    }
}
