import type { RetainedItem } from "../replica/mod.ts";

/**
 * Converts the times of retained states between a clock and milliseconds from now.
 *
 * @param states The states.
 * @param milliseconds What is added to each time.
 * @returns The states with the other times.
 */
export function shiftTimes(states: RetainedItem[], milliseconds: number): RetainedItem[] {
    return states.map(state => ({ ...state, until: state.until + milliseconds }));
}
