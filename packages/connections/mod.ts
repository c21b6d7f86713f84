/** Bound of the connections of callers, and closes that lose no answer. */
export { closeAfterReading } from "./close_after_reading.ts";
export { computeConnectionBounds } from "./compute_connection_bounds.ts";
export { ConnectionBound } from "./connection_bound.ts";
export type { ConnectionBounds } from "./connection_bounds.ts";
export type { IdleConnections } from "./idle_connections.ts";
export { pollConnections } from "./poll_connections.ts";
export { readDescriptorLimit } from "./read_descriptor_limit.ts";
export { takeEndListeners } from "./take_end_listeners.ts";
