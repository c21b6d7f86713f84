import type { RegisteredServer } from "../directory/mod.ts";

/** Memory of a decode engine that is reserved for a request. */
export interface DecodeReservation {
    server: RegisteredServer;
    /** Id of the reservation at the engine. */
    reservationId: string;
    tokens: number;
    /** Gives up the place of the request within the engine's limit; the request itself counts once it is sent. */
    releasePlace: () => void;
    /** Monotonic time in milliseconds at which it was asked for; the engine granted it later. */
    requestedAt: number;
    /** Monotonic time in milliseconds at which the reservation expires unless a request uses it. */
    expiresAt: number;
}
