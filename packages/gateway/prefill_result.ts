import type { RegisteredServer } from "../directory/mod.ts";
import type { PrefillHandle } from "./prefill_handle.ts";

/** A computed prompt, which a decode engine fetches from a prefill engine. */
export interface PrefillResult {
    server: RegisteredServer;
    handle: PrefillHandle;
}
