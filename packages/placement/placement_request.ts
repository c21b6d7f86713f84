/** Properties of a request that a policy may use. */
export interface PlacementRequest {
    /** Name of the requested model. */
    model: string;
    /** The prompt. */
    prompt: string;
    /** Preferred failure domain: that of this instance, or of the decode server already chosen. */
    failureDomain: string;
}
