import type { Result } from "neverthrow";
import type { CompareAndSwapOutcome } from "./compare_and_swap_outcome.ts";
import type { StoreFailure } from "./store_failure.ts";
import type { StoredValue } from "./stored_value.ts";

/** The platform's key-value service. One method call is one call at the service. */
export interface Store {
    /** Reads a key; an absent key has revision 0. */
    read(key: string): Promise<Result<StoredValue, StoreFailure>>;
    /** Writes a key if its revision is still `expectedRevision` (0: if it does not exist). */
    compareAndSwap(
        key: string,
        expectedRevision: number,
        value: unknown,
    ): Promise<Result<CompareAndSwapOutcome, StoreFailure>>;
    /** Waits until the key's revision is above `afterRevision`, or returns the present value after the wait. */
    watch(
        key: string,
        afterRevision: number,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Result<StoredValue, StoreFailure>>;
    /** Closes kept-open connections. */
    close(): Promise<void>;
}
