/** A lease of the store. Its number may be given out again in a later era. */
export interface StoreLease {
    id: number;
    /** Era in which the lease was created. */
    era: number;
}
