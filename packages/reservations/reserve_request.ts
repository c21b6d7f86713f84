/** A request for a part of a backend server's capacity. */
export interface ReserveRequest {
    /** Name of the backend server. */
    server: string;
    /** Id of the request. */
    id: string;
    /** Organisation that the request runs for. */
    organisation: string;
    /** Pieces of decode memory, or 1 for a prefill. */
    pieces: number;
    /** Priority; the highest number goes first. */
    priority: number;
    /** Whether the request may have crashed a server; at most one such request runs on a server at a time. */
    suspect: boolean;
    /** Recognises the request when its caller sends it again. */
    fingerprint: string;
    /** Milliseconds that the request may wait. */
    waitMilliseconds: number;
}
