/** Which instances make up the fleet, and which of them is the home of each key. */
export type { EpochRecord } from "./epoch_record.ts";
export { epochRecordSchema } from "./epoch_record_schema.ts";
export type { HomeKey } from "./home_key.ts";
export type { Member } from "./member.ts";
export { Membership } from "./membership.ts";
export type { MembershipOptions } from "./membership_options.ts";
export { rankMembers } from "./rank_members.ts";
export { trimHistory } from "./trim_history.ts";
