/** Who an instance or operator is. */
export interface InstanceIdentity {
    /** Name from the settings. */
    name: string;
    /** Random for each process, so that a restarted instance differs from its predecessor. */
    incarnation: string;
}
