import type { Member } from "./member.ts";

/** The fleet's members, kept in the store and changed only by compare-and-swap. */
export interface MembershipRecord {
    /** Grows by one with each change. */
    epoch: number;
    /** Members of this epoch. */
    members: Member[];
    /** Member ids of preceding epochs which some member may still be acting on, oldest first. */
    history: { epoch: number; members: string[]; }[];
}
