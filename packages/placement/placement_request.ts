/** What a policy knows of a request. */
export interface PlacementRequest {
    /** Model asked for. */
    model: string;
    /** The prompt. */
    prompt: string;
    /** Failure domain that is near; that of the entry instance, or of the decode server already chosen. */
    failureDomain: string;
}
