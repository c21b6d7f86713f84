/** Free memory of the engines that an instance prefers. */
export interface MemoryRoom {
    /** Fraction of the service's engines that these are. */
    share: number;
    /** Counts the requests of a size in tokens that fit. */
    places(tokens: number): number;
}
