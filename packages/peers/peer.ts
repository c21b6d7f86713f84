/** Another instance. */
export interface Peer {
    name: string;
    /** Random identifier of the process. */
    incarnation: string;
    /** Address at which other instances reach it. */
    address: string;
    /** Failure domain that it runs in. */
    failureDomain: string;
}
