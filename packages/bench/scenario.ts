/** What happens during an experiment. */
export type Scenario = "steady" | "peak" | "flood" | "zone" | "cold" | "outage";
