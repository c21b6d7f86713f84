/** A request for a part of a backend server's capacity. */
export interface ReserveRequest {
    /** Name of the backend server. */
    server: string;
    /** Id of the request. */
    id: string;
    /** Organisation that the request runs for. */
    organisation: string;
    /** Pieces to reserve: blocks of KV cache memory for decode, always 1 for prefill. */
    pieces: number;
    /** Priority; the highest number goes first. */
    priority: number;
    /** Whether the request is suspected of crashing servers; a server runs at most one such request at a time. */
    suspect: boolean;
    /** Fingerprint of the request; the same if the caller sends the request again. */
    fingerprint: string;
    /** Longest time in milliseconds that the request may wait in the queue. */
    waitMilliseconds: number;
}
