import type { ServerResponse } from "node:http";
import type { OrganisationProfile, ServiceProfile, TrafficRoute } from "../directory/mod.ts";

/** A caller's request that has been read and admitted. */
export interface GatewayRequest {
    /** The caller's id of this attempt. */
    id: string;
    method: string;
    /** Path with query, as sent. */
    path: string;
    /** Headers to pass on: names and values by turns. */
    headers: string[];
    body: Buffer;
    route: TrafficRoute;
    service: ServiceProfile;
    organisation: OrganisationProfile | undefined;
    /** The caller's key; undefined on open routes. */
    key: string | undefined;
    promptTokens: number;
    outputTokens: number;
    /** Rank; 0 goes first. */
    priority: number;
    /** Monotonic time at which the request's head was read. */
    receivedAt: number;
    /** Monotonic time at which the caller gives up. */
    callerDeadline: number;
    /** Monotonic time at which the caller must have its final answer. */
    deadline: number;
    /** Aborted when the caller is gone or the deadline has passed. */
    signal: AbortSignal;
    response: ServerResponse;
}
