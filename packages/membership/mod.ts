/** Membership of the fleet, and the assignment of keys to members as their homes. */
export type { HomeKey } from "./home_key.ts";
export type { Member } from "./member.ts";
export { Membership } from "./membership.ts";
export type { MembershipOptions } from "./membership_options.ts";
export type { MembershipRecord } from "./membership_record.ts";
export { membershipRecordSchema } from "./membership_record_schema.ts";
export { selectMembers } from "./select_members.ts";
export { trimHistory } from "./trim_history.ts";
