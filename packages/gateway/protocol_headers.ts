/** Names, in lower case, of the headers that callers, router and backend servers exchange. */
export interface ProtocolHeaders {
    requestId: string;
    /** Time in milliseconds until the sender's deadline. */
    remainingMilliseconds: string;
    /** The caller's API key. */
    key: string;
    organisation: string;
    /** Id of the only server that may run the request. */
    expectedServer: string;
    /** Present when the server did not run the request. */
    notRun: string;
    /** A server's signature of its response. */
    signature: string;
    /** Number of prompt tokens and largest number of output tokens, separated by a comma. */
    tokenCounts: string;
    /** Parts of the prompt in order, as comma-separated ids with their numbers of tokens. */
    promptParts: string;
    /** Stage of the request; set only for a prefill. */
    stage: string;
    /** Address and handle of the prefill result to fetch. */
    prefillResult: string;
    /** Priority at the engine, from 0, which is served first. */
    enginePriority: string;
    /** Id of the reservation of engine memory. */
    reservation: string;
    /** Time in milliseconds for which a server stays cold. */
    coldMilliseconds: string;
    lastEventId: string;
    /** Id of the caller's attempt that got the first event of the stream that the request takes up. */
    resumedAttempt: string;
    /** `1` when the server leaves. */
    leaving: string;
    /** Requests a second, as a decimal number, that the server takes from all instances together. */
    limit: string;
    /** Present when another instance has passed the request on: the number of servers that it may still be sent to. */
    relayed: string;
    /** Headers that only the router may set; they are removed from callers' requests. */
    reserved: string[];
}
