/** A part of prompts that must not reach servers. Times are monotonic, in milliseconds. */
export interface PartBlock {
    since: number;
    /** Time of the last request that held the part, at any instance. */
    requestedAt: number;
    /** Time of the last probe that this instance sent, at first the time at which it learned of the block. */
    probedAt: number;
    /** Time until which a request that was admitted as a probe may still be sent. */
    probingUntil: number;
}
