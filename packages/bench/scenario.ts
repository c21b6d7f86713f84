/**
 * Load and faults of an experiment: `peak` raises the load of all organisations, `flood` that of one, `zone` drains a
 * failure domain, `cold` crashes a third of the decode engines, and during `outage` the store is down.
 */
export type Scenario = "steady" | "peak" | "flood" | "zone" | "cold" | "outage";
