/** Which part of a model request an engine works on. */
export type EngineStage = "prefill" | "decode";
