import type { BackendServer } from "../configuration/mod.ts";
import type { ServerLoadHint } from "../reservations/mod.ts";

/** A backend server that a request may use. */
export interface Candidate {
    /** Name of the server. */
    name: string;
    /** Configuration of the server. */
    server: BackendServer;
    /** Last known load of the server, if any. */
    hint: ServerLoadHint | undefined;
}
