/** Key of a part of the homed state; at most one member at a time is its home. */
export interface HomeKey {
    /** Group of the key. Keys of one group have different homes as long as there are enough members. */
    group: string;
    /** Index within the group. */
    index: number;
}
