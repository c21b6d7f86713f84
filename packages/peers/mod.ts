/** Communication with the other instances behind the same load balancer. */
export type { Cell } from "./cell.ts";
export type { CellState } from "./cell_state.ts";
export { FleetPartition } from "./fleet_partition.ts";
export type { KnownPeer } from "./known_peer.ts";
export type { Peer } from "./peer.ts";
export { PeerMesh } from "./peer_mesh.ts";
export type { PeerMeshOptions } from "./peer_mesh_options.ts";
export type { PeerReport } from "./peer_report.ts";
export type { ServerLimitNotice } from "./server_limit_notice.ts";
export type { UsageSummary } from "./usage_summary.ts";
