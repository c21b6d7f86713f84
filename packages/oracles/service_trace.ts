/** What a service stand-in saw. */
export interface ServiceTrace {
    /** Calls that ran, in order. */
    calls: {
        at: number;
        method: string;
        path: string;
        key: string;
        organisation: string;
        request: string;
        body: string;
    }[];
    /** Answers cut after the call ran. */
    cut: number;
    /** Requests that held a watched text. */
    watchedTextSeen: number;
    /** Characters searched for watched texts. */
    bytesSearched: number;
}
