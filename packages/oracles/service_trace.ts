/** Trace of a service stand-in, as its control route returns it. */
export interface ServiceTrace {
    /** Calls that ran, in order of arrival. Times are wall-clock times in milliseconds. */
    calls: {
        at: number;
        method: string;
        path: string;
        key: string;
        organisation: string;
        request: string;
        body: string;
    }[];
    /** Number of responses dropped after the call ran. */
    cut: number;
    /** Number of requests that contained a watched text. */
    watchedTextSeen: number;
    /** Number of characters searched for watched texts. */
    bytesSearched: number;
}
