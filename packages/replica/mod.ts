/** Each instance's replica of the store's items, read from the store or received from peers. */
export { comparePositions } from "./compare_positions.ts";
export type { EraChange } from "./era_change.ts";
export type { ItemChange } from "./item_change.ts";
export { ItemReplica } from "./item_replica.ts";
export type { ItemSnapshot } from "./item_snapshot.ts";
export type { ItemSource } from "./item_source.ts";
export { positionOf } from "./position_of.ts";
export { ReplicaFollower } from "./replica_follower.ts";
export type { ReplicaFollowerOptions } from "./replica_follower_options.ts";
export type { ReplicaUpdate } from "./replica_update.ts";
export type { RetainedItem } from "./retained_item.ts";
export type { StorePosition } from "./store_position.ts";
export type { StoredItem } from "./stored_item.ts";
export type { WatchResponse } from "./watch_response.ts";
