/** An organisation with its API keys and its rate limit. */
export interface OrganisationProfile {
    name: string;
    keys: string[];
    /** Priority that replaces the route's; 0 is served first. Undefined if the route's applies. */
    priority: number | undefined;
    /** Whether the limit counts tokens; otherwise it counts requests. */
    countsTokens: boolean;
    /** Tokens that are charged for a request without token counts. */
    defaultRequestTokens: number;
    /** Tokens or requests per second; 0 if there is no limit. */
    ratePerSecond: number;
    /** Tokens or requests that are allowed in addition to the rate. */
    burst: number;
}
