import type { Result } from "neverthrow";
import type { TimedRequest } from "../decisions/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";

/** A request that waits for memory of a decode engine. */
export interface DecodeWaiter extends TimedRequest {
    request: GatewayRequest;
    /** Urgency by which it is sorted. */
    orderUrgency: number;
    /** Whether it has once been found to have to wait. */
    hasWaited: boolean;
    /** Whether it has left room to requests of other instances. */
    hasYielded: boolean;
    /** Monotonic time in milliseconds at which the request is refused. */
    giveUpAt: number;
    /** Ids of engines that must not be used. */
    excluded: ReadonlySet<string>;
    /** Software version of the engines that may be used; undefined for all. */
    softwareVersion: string | undefined;
    /** Whether the memory is still of use. */
    isWanted: () => boolean;
    resolve: (result: Result<DecodeReservation, GatewayRefusal>) => void;
    reject: (error: unknown) => void;
}
