/** Which instances make up the fleet, and which of them is the home of each key. */
export type { HomeKey } from "./home_key.ts";
export type { Member } from "./member.ts";
export { Membership } from "./membership.ts";
export type { MembershipOptions } from "./membership_options.ts";
export type { MembershipRecord } from "./membership_record.ts";
export { membershipRecordSchema } from "./membership_record_schema.ts";
export { selectMembers } from "./select_members.ts";
export { trimHistory } from "./trim_history.ts";
