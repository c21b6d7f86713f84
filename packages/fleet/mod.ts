/** Distributes membership records and configurations among the instances and measures how recent they are. */
export { ConfigurationFollower } from "./configuration_follower.ts";
export type { ConfigurationFollowerOptions } from "./configuration_follower_options.ts";
export { Heartbeats } from "./heartbeats.ts";
export type { HeartbeatsOptions } from "./heartbeats_options.ts";
