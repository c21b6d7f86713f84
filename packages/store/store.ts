import type { Result } from "neverthrow";
import type { StorePosition } from "../replica/mod.ts";
import type { CompareAndSwapOutcome } from "./compare_and_swap_outcome.ts";
import type { StoreFailure } from "./store_failure.ts";
import type { StoredValue } from "./stored_value.ts";

/** The platform's key-value service. Each method makes exactly one call to the service. */
export interface Store {
    /** Reads a key. A key that does not exist has revision 0. */
    read(key: string): Promise<Result<StoredValue, StoreFailure>>;
    /** Writes a key if it is at the position `expected` still; revision 0 means that the key must not exist. */
    compareAndSwap(
        key: string,
        expected: StorePosition,
        value: unknown,
    ): Promise<Result<CompareAndSwapOutcome, StoreFailure>>;
    /** Returns the current value once its revision is above that of `after`, in another era, or when the wait is over. */
    watch(
        key: string,
        after: StorePosition,
        waitMilliseconds: number,
        signal?: AbortSignal,
    ): Promise<Result<StoredValue, StoreFailure>>;
    /** Closes the persistent connections. */
    close(): Promise<void>;
}
