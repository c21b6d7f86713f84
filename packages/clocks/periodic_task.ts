import { sleep } from "./sleep.ts";

/**
 * Runs an asynchronous step again and again, with a pause after each run, until it is closed.
 *
 * @example
 * ```ts
 * const task = new RepeatingTask(1_000, async () => {});
 * await task.close();
 * ```
 */
export class PeriodicTask {
    readonly #stop = new AbortController();
    readonly #done: Promise<void>;

    /**
     * @param pauseMilliseconds Pause between two runs.
     * @param step The work; a rejection is passed to `onError` and the task goes on.
     * @param onError Receives what the step threw.
     */
    constructor(
        private readonly pauseMilliseconds: number,
        private readonly step: (signal: AbortSignal) => Promise<void>,
        private readonly onError: (error: unknown) => void = () => {},
    ) {
        this.#done = this.#run();
    }

    /**
     * Stops the task and waits for a run under way.
     *
     * @returns A promise that resolves once nothing runs.
     */
    async close(): Promise<void> {
        this.#stop.abort();
        await this.#done;
    }

    async #run(): Promise<void> {
        const signal = this.#stop.signal;
        while (!signal.aborted) {
            try {
                await this.step(signal);
            }
            catch (error) {
                this.onError(error);
            }
            await sleep(this.pauseMilliseconds, signal);
        }
    }
}
