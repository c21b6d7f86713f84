/** Rate limits of organisations in tokens, enforced over all instances together. */
export type { Charge } from "./charge.ts";
export { chargeParameters } from "./charge_parameters.ts";
export type { ChargeResponse } from "./charge_response.ts";
export { computeLimitShare } from "./compute_limit_share.ts";
export { HomedLimitShares } from "./homed_limit_shares.ts";
export { limitTimes } from "./limit_times.ts";
export { OrganisationLimiter } from "./organisation_limiter.ts";
export { RefundableTokenBucket } from "./refundable_token_bucket.ts";
export { SHARES_PER_ORGANISATION } from "./shares_per_organisation.ts";
