/** The result of a prefill, kept by its engine for a short time. */
export interface PrefillHandle {
    id: string;
    tokens: number;
}
