/** What an instance has under way at a backend server. */
export interface PeerServerLoad {
    active: number;
    reservedTokens: number;
    prefillTokens: number;
    /** Recent failures, weighted by age. */
    failures: number;
    /** Recent successes, weighted by age. */
    successes: number;
}
