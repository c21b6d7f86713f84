import type { RegisteredServer } from "../directory/mod.ts";
import type { PrefillHandle } from "./prefill_handle.ts";

/** A prompt that an engine has computed. */
export interface PrefillResult {
    server: RegisteredServer;
    handle: PrefillHandle;
}
