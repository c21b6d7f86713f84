import type { Result } from "neverthrow";
import type { ItemSource } from "../replica/mod.ts";
import type { StoreFailure } from "../store/mod.ts";
import type { ConditionalWrite } from "./conditional_write.ts";
import type { WriteOutcome } from "./write_outcome.ts";

/** The store by which instances coordinate. */
export interface CoordinationStore extends ItemSource {
    /** Writes all items or none. */
    write(writes: ConditionalWrite[]): Promise<Result<WriteOutcome, StoreFailure>>;
    /** Opens a lease for a time in milliseconds, counted from the arrival of the call. */
    createLease(lifetimeMilliseconds: number): Promise<Result<number, StoreFailure>>;
    /** Renews a lease; false when it has ended. */
    renewLease(lease: number): Promise<Result<boolean, StoreFailure>>;
    /** Ends a lease and removes its items. */
    revokeLease(lease: number): Promise<void>;
    /** Closes every connection. */
    close(): void;
}
