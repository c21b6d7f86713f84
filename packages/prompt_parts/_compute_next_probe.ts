import type { PartBlock } from "./_part_block.ts";

/**
 * Computes when a blocked part may be probed next. The time between two probes doubles, and all instances compute the
 * same times.
 *
 * @param block The block.
 * @param firstDelay Time in milliseconds from the block to its first probe.
 * @returns Monotonic time in milliseconds, after the last probe.
 */
export function computeNextProbe({ since, probedAt }: PartBlock, firstDelay: number): number {
    let delay = firstDelay;
    let probeAt = since + delay;
    while (probeAt <= probedAt) {
        delay *= 2;
        probeAt += delay;
    }
    return probeAt;
}
