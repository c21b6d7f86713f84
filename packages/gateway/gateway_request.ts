import type { ServerResponse } from "node:http";
import type { OrganisationProfile, ServiceProfile, TrafficRoute } from "../directory/mod.ts";
import type { PromptSection } from "../prompt_parts/mod.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { RequestMemory } from "./request_memory.ts";
import type { ResumedStream } from "./resumed_stream.ts";

/** An admitted request of a caller. */
export interface GatewayRequest {
    /** The caller's id of this attempt. */
    id: string;
    method: string;
    /** Path with query, as received. */
    path: string;
    /** Headers to forward: alternating names and values. */
    headers: string[];
    body: Buffer;
    route: TrafficRoute;
    service: ServiceProfile;
    organisation: OrganisationProfile | undefined;
    /** The caller's API key; undefined on open routes. */
    key: string | undefined;
    promptTokens: number;
    outputTokens: number;
    /** The stream that the request takes up where it broke off; undefined if it asks for a new one. */
    resumedStream: ResumedStream | undefined;
    /** Parts of the prompt that other requests may share. */
    promptParts: string[];
    /** All parts of the prompt in order, with their lengths. */
    promptSections: PromptSection[];
    /** Whether the request runs once to find out whether a blocked part of its prompt still crashes servers. */
    isProbe: boolean;
    /** Urgency by the priorities of its organisation and route; the lowest number is served first. */
    urgency: number;
    /** Rank of its urgency among those of its service; undefined if the service has a single one. */
    urgencyRank: number | undefined;
    /** Whether the first event could no longer meet the target latency when memory was last granted. */
    isLate: boolean;
    /** Whether another instance has passed it on. */
    isRelayed: boolean;
    /** Names of the instances that it has been passed on to. */
    triedPeers: Set<string>;
    /** Monotonic time in milliseconds at which the request's headers were received. */
    receivedAt: number;
    /** Monotonic time in milliseconds at which the caller gives up. */
    callerDeadline: number;
    /** Monotonic time in milliseconds by which the response must end, at the latest the caller's deadline. */
    deadline: number;
    /** Aborts when the caller disconnects or the deadline has passed. */
    signal: AbortSignal;
    response: ServerResponse;
    /** Memory that it holds until its response has ended. */
    memory: RequestMemory;
    /** What was received and sent so far. */
    exchange: CallerExchange;
}
