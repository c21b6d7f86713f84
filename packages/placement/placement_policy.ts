import type { Candidate } from "./candidate.ts";
import type { PlacementRequest } from "./placement_request.ts";

/** Policy that orders the backend servers that a request may use. */
export interface PlacementPolicy {
    /** Whether capacity is reserved at the server's home before it is used. */
    readonly reservesCapacity: boolean;
    /** Whether the policy needs load reports from the engines, which are delayed. */
    readonly needsLoadReports: boolean;
    /** Returns the candidates with the best first. */
    order(candidates: Candidate[], request: PlacementRequest): Candidate[];
    /** Records that a prefill server has computed the prompt of a request. */
    recordPrefill(server: string, request: PlacementRequest): void;
}
