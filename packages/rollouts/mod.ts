/** Roll-outs of services by version: judgement of a version, bound on its exposure, phases. */
export { computeSchedule } from "./compute_schedule.ts";
export { encodeOutcomeKey } from "./encode_outcome_key.ts";
export { ExposureLimit } from "./exposure_limit.ts";
export type { Judgement } from "./judgement.ts";
export { nextPhase } from "./next_phase.ts";
export type { PhaseChange } from "./phase_change.ts";
export { phaseRank } from "./phase_rank.ts";
export { responseTimeBuckets } from "./response_time_buckets.ts";
export type { RolloutPhase } from "./rollout_phase.ts";
export type { RolloutSchedule } from "./rollout_schedule.ts";
export type { RolloutState } from "./rollout_state.ts";
export { rolloutStateSchema } from "./rollout_state_schema.ts";
export type { RolloutStatus } from "./rollout_status.ts";
export { VersionJudge } from "./version_judge.ts";
