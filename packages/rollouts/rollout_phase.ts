/**
 * Phase of a roll-out.
 *
 * `"trial"`: the new version gets a small share of the requests. `"probe"`: it gets in one burst most of what the bound
 * on its exposure leaves. `"move"`: it gets every request, and the old version ends what it runs. `"completed"` and
 * `"rolled-back"` are final.
 */
export type RolloutPhase = "trial" | "probe" | "move" | "completed" | "rolled-back";
