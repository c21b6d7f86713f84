/** An instance that is part of the fleet. */
export interface Member {
    /** Name from its settings. */
    name: string;
    /** Random for each process. */
    incarnation: string;
    /** Address for other instances. */
    address: string;
    /** Failure domain that it runs in. */
    failureDomain: string;
}
