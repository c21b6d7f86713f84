/** An organisation with its keys and its limit. */
export interface OrganisationProfile {
    name: string;
    keys: string[];
    /** Rank that goes before the route's; undefined when the route decides. */
    priority: number | undefined;
    /** Whether the limit counts tokens; otherwise it counts requests. */
    countsTokens: boolean;
    /** Tokens that a request without a token count is charged. */
    defaultRequestTokens: number;
    /** 0 when there is no limit. */
    ratePerSecond: number;
    burst: number;
}
