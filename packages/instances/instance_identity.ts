/** Identity of an instance or operator. */
export interface InstanceIdentity {
    /** Name from the settings. */
    name: string;
    /** Random for each process, which distinguishes a restarted instance from the previous process. */
    incarnation: string;
}
