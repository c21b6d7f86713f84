/** An order to change what an engine serves. */
export interface EngineOrder {
    /** Fencing token; engines that check it reject a token lower than the highest they have seen. */
    fence: number;
    /** What to do. */
    kind: "load-model" | "load-adapter" | "load-version" | "change-role";
    /** Model, adapter, version or role. */
    target: string;
}
