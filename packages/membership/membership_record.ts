import type { Member } from "./member.ts";

/** Members of the fleet. Kept in the store and changed only by compare-and-swap. */
export interface MembershipRecord {
    /** Number of the record; grows by one with each change. */
    epoch: number;
    /** Members of this epoch. */
    members: Member[];
    /** Member ids of earlier epochs that some member may still act on, oldest first. */
    history: { epoch: number; members: string[]; }[];
    /** Era of the store in which it was written; absent if the store announces none. */
    era?: number | undefined;
}
