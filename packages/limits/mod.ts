/** Rates and bursts of organisations in tokens, shared by all instances. */
export type { Charge } from "./charge.ts";
export type { ChargeAnswer } from "./charge_answer.ts";
export { chargeParameters } from "./charge_parameters.ts";
export { limitTimes } from "./limit_times.ts";
export { OrganisationLimiter } from "./organisation_limiter.ts";
export { ReplayBucket } from "./replay_bucket.ts";
export { shareOf } from "./share_of.ts";
export { ShareState } from "./share_state.ts";
export { SHARES_PER_ORGANISATION } from "./shares_per_organisation.ts";
