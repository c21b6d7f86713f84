import { throwUncaught } from "./_throw_uncaught.ts";

/**
 * Runs an asynchronous function repeatedly, with a pause after each run, until it is closed.
 *
 * @example
 * ```ts
 * const task = new PeriodicTask(1_000, async () => {});
 * await task.close();
 * ```
 */
export class PeriodicTask {
    readonly #stop = new AbortController();
    readonly #finished: Promise<void>;
    #timer: NodeJS.Timeout | undefined;
    /** Ends the pause that is under way. */
    #endPause = () => {};

    /**
     * @param pauseMilliseconds Pause between the end of a run and the start of the next one.
     * @param run Function to run; an error is passed to `onError` and does not stop the task.
     * @param onError Receives the errors of runs. Default: they are uncaught exceptions of the process, as are the errors
     *     of `onError`; neither stops the task.
     */
    constructor(
        private readonly pauseMilliseconds: number,
        private readonly run: (signal: AbortSignal) => Promise<void>,
        private readonly onError: (error: unknown) => void = throwUncaught,
    ) {
        this.#finished = this.#loop();
    }

    /**
     * Stops the task and waits for the current run.
     *
     * @returns A promise that resolves once the current run has ended.
     */
    async close(): Promise<void> {
        this.#stop.abort();
        clearTimeout(this.#timer);
        this.#endPause();
        await this.#finished;
    }

    async #loop(): Promise<void> {
        const signal = this.#stop.signal;
        while (!signal.aborted) {
            try {
                await this.run(signal);
            }
            catch (error) {
                this.#report(error);
            }
            await this.#pause();
        }
    }

    /** Waits without a listener on the signal, whose registration costs more than the timer, as tasks run often. */
    #pause(): Promise<void> {
        return new Promise(resolve => {
            if (this.#stop.signal.aborted) {
                resolve();
                return;
            }
            this.#endPause = resolve;
            this.#timer = setTimeout(resolve, this.pauseMilliseconds);
        });
    }

    #report(error: unknown): void {
        try {
            this.onError(error);
        }
        catch (failure) {
            throwUncaught(failure);
        }
    }
}
