/** Room of the engines that an instance prefers, for requests that wait for memory. */
export interface MemoryRoom {
    /** Fraction of the service's decode engines that these are. */
    share: number;
    /** Counts the requests of a size in tokens that fit: into free memory, and into the work of prefill engines. */
    places(tokens: number): number;
}
