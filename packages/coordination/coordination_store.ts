import type { Result } from "neverthrow";
import type { ItemSource, StorePosition } from "../replica/mod.ts";
import type { StoreFailure } from "../store/mod.ts";
import type { ConditionalWrite } from "./conditional_write.ts";
import type { StoreLease } from "./store_lease.ts";
import type { WriteOutcome } from "./write_outcome.ts";

/**
 * Store through which instances coordinate. Positions and leases hold only in their own era: in a later one, a condition
 * on a position fails, and a lease has ended.
 */
export interface CoordinationStore extends ItemSource {
    /** Writes all items or none. */
    write(writes: ConditionalWrite[]): Promise<Result<WriteOutcome, StoreFailure>>;
    /** Removes an item unless it has changed since the position. */
    remove(key: string, position: StorePosition): Promise<Result<WriteOutcome, StoreFailure>>;
    /** Creates a lease with a lifetime in milliseconds, which begins when the call reaches the store. */
    createLease(lifetimeMilliseconds: number): Promise<Result<StoreLease, StoreFailure>>;
    /** Renews a lease; false if it has expired or was revoked, or if the store is in another era. */
    renewLease(lease: StoreLease): Promise<Result<boolean, StoreFailure>>;
    /** Revokes a lease, which removes its items. */
    revokeLease(lease: StoreLease): Promise<void>;
    /** Closes every connection. */
    close(): void;
}
