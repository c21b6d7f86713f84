import type { BackendServer } from "../configuration/mod.ts";
import type { ServerLoadHint } from "../reservations/mod.ts";

/** A backend server that a request may use. */
export interface Candidate {
    /** Name of the server. */
    name: string;
    /** The server as configured. */
    server: BackendServer;
    /** What was last heard of its load. */
    hint: ServerLoadHint | undefined;
}
