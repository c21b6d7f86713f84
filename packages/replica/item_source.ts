import type { Result } from "neverthrow";
import type { StoreFailure } from "../store/mod.ts";
import type { ItemSnapshot } from "./item_snapshot.ts";
import type { StorePosition } from "./store_position.ts";
import type { WatchResponse } from "./watch_response.ts";

/** Source of the store's items. */
export interface ItemSource {
    /** Reads all items under a prefix, each page in the same era. */
    list(prefix: string): Promise<Result<ItemSnapshot, StoreFailure>>;
    /** Waits for changes after a position; returns no changes when the wait ends. */
    watch(
        prefix: string,
        after: StorePosition,
        waitMilliseconds: number,
    ): Promise<Result<WatchResponse, StoreFailure>>;
}
