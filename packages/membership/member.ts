/** An instance that is part of the fleet. */
export interface Member {
    /** Name of the instance from its settings. */
    name: string;
    /** Random identifier of the process; a restarted instance has a new one. */
    incarnation: string;
    /** Address at which other instances call it. */
    address: string;
    /** Failure domain that the instance runs in. */
    failureDomain: string;
}
