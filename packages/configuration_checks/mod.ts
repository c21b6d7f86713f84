/** Checks of a configuration before it is applied: entries without effect, contradictory limits, differences. */
export { describeDifferences } from "./describe_differences.ts";
export type { Difference } from "./difference.ts";
export { findContradictoryLimits } from "./find_contradictory_limits.ts";
export { findIgnoredOrder } from "./find_ignored_order.ts";
export { findOrganisationsWithoutKeys } from "./find_organisations_without_keys.ts";
export { findUnusedEntries } from "./find_unused_entries.ts";
export type { Finding } from "./finding.ts";
