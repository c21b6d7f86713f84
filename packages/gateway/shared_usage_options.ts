import type { SuspensionAwareClock } from "../clocks/mod.ts";

/** Dependencies of {@linkcode SharedUsage}. */
export interface SharedUsageOptions {
    /** Name of this instance and incarnation of this process. */
    self: { name: string; incarnation: string; };
    /** Length in milliseconds of the window in which the usage is counted. */
    windowMilliseconds: number;
    /** Number of instances that share the limits, including this one. */
    instanceCount: () => number;
    /** Whether the usage by an instance arrives in the sum of another cell. */
    isInOtherCell: (name: string) => boolean;
    /** Whether the whole fleet starts for the first time, so that there is no earlier usage. */
    firstStart: boolean;
    clock: SuspensionAwareClock;
}
