/** Client of the platform's key-value service. */
export type { CompareAndSwapOutcome } from "./compare_and_swap_outcome.ts";
export { HttpStore } from "./http_store.ts";
export type { HttpStoreOptions } from "./http_store_options.ts";
export type { Store } from "./store.ts";
export { StoreFailure } from "./store_failure.ts";
export type { StoredValue } from "./stored_value.ts";
export { updateValue } from "./update_value.ts";
