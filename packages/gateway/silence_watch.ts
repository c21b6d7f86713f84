/**
 * Watches the run of a request at a server. A server may be sound and still send nothing for a while, so silence alone
 * ends no run: after each period of silence, `onSilence` decides whether the run is given up.
 *
 * @example
 * ```ts
 * const watch = new SilenceWatch(700, request.signal, async isStillSilent => await findSuccessor(isStillSilent));
 * watch.touch();
 * watch.close();
 * ```
 */
export class SilenceWatch {
    readonly #abort = new AbortController();
    #timer: NodeJS.Timeout | undefined;
    #touches = 0;
    #closed = false;
    #silent = false;
    #paused = false;

    /**
     * @param milliseconds Period of silence in milliseconds.
     * @param requestSignal Aborts when the request is given up.
     * @param onSilence Returns whether the run is given up, which must not happen once `isStillSilent` returns false.
     * @param firstMilliseconds The first period, which may be longer. Default: `milliseconds`.
     */
    constructor(
        private readonly milliseconds: number,
        private readonly requestSignal: AbortSignal,
        private readonly onSilence: (isStillSilent: () => boolean) => Promise<boolean>,
        firstMilliseconds = milliseconds,
    ) {
        if (requestSignal.aborted) {
            this.#abort.abort();
        }
        requestSignal.addEventListener("abort", this.#follow);
        this.#arm(firstMilliseconds);
    }

    /** Aborts when the run is given up, or the whole request. */
    get signal(): AbortSignal {
        return this.#abort.signal;
    }

    /** Whether the run was given up for the silence of its engine. */
    get isGivenUp(): boolean {
        return this.#silent;
    }

    /** Records that the engine makes progress. */
    touch(): void {
        this.#touches++;
        this.#paused = false;
        this.#arm(this.milliseconds);
    }

    /** Stops the watch while nothing is read from the engine, until the next `touch`. */
    pause(): void {
        this.#touches++;
        this.#paused = true;
        clearTimeout(this.#timer);
    }

    /** Ends the watch. */
    close(): void {
        this.#closed = true;
        clearTimeout(this.#timer);
        this.requestSignal.removeEventListener("abort", this.#follow);
    }

    readonly #follow = () => this.#abort.abort();

    #arm(milliseconds: number): void {
        clearTimeout(this.#timer);
        if (!this.#closed && !this.#paused) {
            this.#timer = setTimeout(() => void this.#decide(), milliseconds);
        }
    }

    async #decide(): Promise<void> {
        const touches = this.#touches;
        const isStillSilent = () => this.#touches === touches && !this.#closed && !this.signal.aborted;
        const givenUp = await this.onSilence(isStillSilent);
        if (!isStillSilent()) {
            return;
        }
        if (givenUp) {
            this.#silent = true;
            this.#abort.abort();
            return;
        }
        this.#arm(this.milliseconds);
    }
}
