/** Records of once-only calls, which guarantee that each of them runs at most once. */
export type { BeginResult } from "./begin_result.ts";
export { CommitRateLimiter } from "./commit_rate_limiter.ts";
export { HomedOnceShards } from "./homed_once_shards.ts";
export { OnceClient } from "./once_client.ts";
export { onceParameters } from "./once_parameters.ts";
export type { OnceRecord } from "./once_record.ts";
export { onceRecordKey } from "./once_record_key.ts";
export { OnceShard } from "./once_shard.ts";
export type { OnceShardOptions } from "./once_shard_options.ts";
export { shardOf } from "./shard_of.ts";
export type { StoredResponse } from "./stored_response.ts";
