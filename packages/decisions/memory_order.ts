import type { MemoryRoom } from "./memory_room.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Decides in which order requests take engine memory. */
export interface MemoryOrder {
    /** Returns the urgency by which a request is sorted among those of this instance; the lowest goes first. */
    urgencyOf(request: WaitingRequest, now: number): number;
    /** Returns whether a request leaves the room to requests of other instances; `room` is called only where needed. */
    mustYield(request: WaitingRequest, room: () => MemoryRoom, now: number): boolean;
}
