import type { SuspensionAwareClock } from "../clocks/mod.ts";

/** What a {@linkcode TokenLimiter} works with. */
export interface RateLimiterOptions {
    /** Name of this instance and start of this process. */
    self: { name: string; incarnation: string; };
    /** Window in milliseconds over which an organisation's limit is counted. */
    windowMilliseconds: number;
    /** Part of the limit by which it may be exceeded. */
    excess: number;
    /** Units by which the limit may be exceeded besides. */
    slack: number;
    /** Number of instances that share the limits, this one included. */
    instanceCount: () => number;
    /** Whether the fleet starts for the first time, so that nothing was spent before. */
    firstStart: boolean;
    clock: SuspensionAwareClock;
}
