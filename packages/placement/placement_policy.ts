import type { Candidate } from "./candidate.ts";
import type { PlacementRequest } from "./placement_request.ts";

/** Orders the backend servers that a request may use. */
export interface PlacementPolicy {
    /** Whether capacity is reserved at the server's home before it is used. */
    readonly reservesCapacity: boolean;
    /** Whether the policy needs the engines' own, late load reports. */
    readonly needsLoadReports: boolean;
    /** Orders candidates, the best first. */
    order(candidates: Candidate[], request: PlacementRequest): Candidate[];
    /** Notes that a prompt was computed at a prefill server. */
    recordPrefill(server: string, request: PlacementRequest): void;
}
