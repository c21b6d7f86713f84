/** Load that one instance causes at a backend server. */
export interface PeerServerLoad {
    /** Requests in progress. */
    active: number;
    /** KV cache memory reserved, in tokens. */
    reservedTokens: number;
    /** Prompt tokens of unfinished prefills. */
    prefillTokens: number;
    /** Recent failures, weighted by age. */
    failures: number;
    /** Recent successes, weighted by age. */
    successes: number;
}
