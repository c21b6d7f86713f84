/** A peer that requests can be passed on to. */
export interface RelayPeer {
    name: string;
    /** Random identifier of the process. */
    incarnation: string;
    /** Address at which it takes requests. */
    callersAddress: string;
}
