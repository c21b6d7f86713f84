/** Another instance. */
export interface Peer {
    name: string;
    /** Random for each process. */
    incarnation: string;
    /** Address for other instances. */
    address: string;
}
