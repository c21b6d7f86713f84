/** What the operator reads of a roll-out. */
export interface RolloutStatus {
    service: string;
    /** Version that the service is moved to. */
    version: string;
    /** At `"completed"`, the old version's servers stop at once. */
    state: "running" | "completed" | "rolled-back";
}
