/** Times in milliseconds from a roll-out's order. */
export interface RolloutSchedule {
    /** Time from which the new version may be probed with a burst. */
    probeAt: number;
    /** Time from which all requests may move to the new version. */
    moveAt: number;
    /** Time until which the move may be put off while the judgement is open. */
    lastMoveAt: number;
    /** Time at which the roll-out is completed. */
    completeAt: number;
    /** The deadline. */
    endAt: number;
}
