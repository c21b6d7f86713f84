import type { RegisteredServer } from "../directory/mod.ts";

/** Memory of a decode engine that has been reserved for a request. */
export interface DecodeReservation {
    server: RegisteredServer;
    /** Id of the reservation at the engine. */
    reservationId: string;
    tokens: number;
    /** Monotonic time at which the reservation ends unless a request uses it. */
    expiresAt: number;
}
