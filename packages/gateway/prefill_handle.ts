/** Identifies a prefill result, which its engine keeps for a short time. */
export interface PrefillHandle {
    id: string;
    /** Number of tokens in the prefill result. */
    tokens: number;
}
