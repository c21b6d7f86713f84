/** Another instance. */
export interface Peer {
    name: string;
    /** Random identifier of the process. */
    incarnation: string;
    /** Address at which other instances reach it. */
    address: string;
    /** Failure domain that it runs in. */
    failureDomain: string;
    /** Address at which callers reach it; undefined unless its registration names one. */
    callersAddress?: string | undefined;
}
