/** An order to change what an engine serves. */
export interface EngineOrder {
    /** Fencing number; engines that check it refuse a lower one than they have seen. */
    fence: number;
    /** What to do. */
    kind: "load-model" | "load-adapter" | "load-version" | "change-role";
    /** Model, adapter, version or role. */
    target: string;
}
