/** The part of model requests that an engine computes. */
export type EngineStage = "prefill" | "decode";
