/** Reports once that the input of a connection waits for the limit, until none of it waits. */
export class LimitReport {
    #isReported = false;

    constructor(private readonly onLimit: (() => void) | undefined) {}

    /** Takes in whether input waits and whether the limit is the cause. */
    update(isWaiting: boolean, isLimited: () => boolean): void {
        const isReported = isWaiting && (this.#isReported || isLimited());
        if (isReported && !this.#isReported) {
            this.onLimit?.();
        }
        this.#isReported = isReported;
    }
}
