import type { Result } from "neverthrow";
import type { ItemSource } from "../replica/mod.ts";
import type { StoreFailure } from "../store/mod.ts";
import type { ConditionalWrite } from "./conditional_write.ts";
import type { WriteOutcome } from "./write_outcome.ts";

/** Store through which instances coordinate. */
export interface CoordinationStore extends ItemSource {
    /** Writes all items or none. */
    write(writes: ConditionalWrite[]): Promise<Result<WriteOutcome, StoreFailure>>;
    /** Removes an item unless it has changed since the revision. */
    remove(key: string, revision: number): Promise<Result<WriteOutcome, StoreFailure>>;
    /** Creates a lease with a lifetime in milliseconds, which begins when the call reaches the store. */
    createLease(lifetimeMilliseconds: number): Promise<Result<number, StoreFailure>>;
    /** Renews a lease; false if it has expired or was revoked. */
    renewLease(lease: number): Promise<Result<boolean, StoreFailure>>;
    /** Revokes a lease, which removes its items. */
    revokeLease(lease: number): Promise<void>;
    /** Closes every connection. */
    close(): void;
}
