/** Records of calls that may run at most once. */
export type { BeginAnswer } from "./begin_answer.ts";
export { CommitBudget } from "./commit_budget.ts";
export type { KeptAnswer } from "./kept_answer.ts";
export { OnceClient } from "./once_client.ts";
export { onceParameters } from "./once_parameters.ts";
export type { OnceRecord } from "./once_record.ts";
export { onceRecordKey } from "./once_record_key.ts";
export { OnceShard } from "./once_shard.ts";
export type { OnceShardOptions } from "./once_shard_options.ts";
export { OnceState } from "./once_state.ts";
export { shardOf } from "./shard_of.ts";
