import type { ListedServer } from "../directory/mod.ts";

/** Memory of a decode engine that has been reserved for a request. */
export interface DecodeGrant {
    server: ListedServer;
    /** Id of the reservation at the engine. */
    reservation: string;
    tokens: number;
    /** Monotonic time at which the reservation ends unless a request uses it. */
    expiresAt: number;
}
