/** Names a piece of state that exactly one member is the home of. */
export interface HomeKey {
    /** Keys of one group have different homes while there are enough members. */
    group: string;
    /** Index within the group. */
    index: number;
}
