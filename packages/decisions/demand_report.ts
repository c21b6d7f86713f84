/** By service: priority, waiting requests, waiting tokens, asked and granted tokens per second of each urgency. */
export type DemandReport = Record<string, [number, number, number, number, number][]>;
