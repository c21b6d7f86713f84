/** Whether this instance reaches the backend servers. */
export type { LinkFault } from "./link_fault.ts";
export type { ProbeResult } from "./probe_result.ts";
export { ReachabilityMonitor } from "./reachability_monitor.ts";
export type { ReachabilityMonitorOptions } from "./reachability_monitor_options.ts";
export type { WaitingCall } from "./waiting_call.ts";
