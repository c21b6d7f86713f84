/** Names, in lower case, of the headers that callers, router and backend servers exchange. */
export interface ProtocolHeaders {
    requestId: string;
    /** Time in milliseconds that the sender still waits. */
    remainingMilliseconds: string;
    /** The caller's key. */
    key: string;
    organisation: string;
    /** Id of the only server that may run the request. */
    expectedServer: string;
    /** Present when the server did not run the request. */
    notRun: string;
    /** A server's signature of its answer. */
    signature: string;
    /** Prompt tokens and most output tokens, separated by a comma. */
    tokenCounts: string;
    /** Names the stage when only the prompt is to be computed. */
    stage: string;
    /** Where the result of a prefill is fetched from. */
    prefillResult: string;
    /** Reservation of an engine's memory. */
    reservation: string;
    /** Time in milliseconds that a server stays cold. */
    coldMilliseconds: string;
    lastEventId: string;
    /** Headers that only the router may set; those that callers send are dropped. */
    reserved: string[];
}
