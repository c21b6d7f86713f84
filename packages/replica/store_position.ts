/**
 * A state of the store. The era rises each time the store comes back from an older copy, and the revision with each
 * change within an era; a revision of another era may stand for other changes.
 */
export interface StorePosition {
    /** 0 if the store does not announce eras, and before its first response. */
    era: number;
    /** 0 before the first snapshot. */
    revision: number;
}
