import type { ListedServer } from "../directory/mod.ts";
import type { PrefillHandle } from "./prefill_handle.ts";

/** A prompt that an engine has computed. */
export interface Prefilled {
    server: ListedServer;
    handle: PrefillHandle;
}
