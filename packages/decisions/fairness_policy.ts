/** Decides which requests of an organisation go behind those of others with the same urgency. */
export interface FairnessPolicy {
    /** Returns whether a request that begins to wait is beyond its organisation's fair share. */
    isBeyondShare(service: string, organisation: string | undefined, now: number): boolean;
}
