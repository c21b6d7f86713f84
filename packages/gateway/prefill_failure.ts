/** Why a prompt was not computed by a prefill engine. */
export interface PrefillFailure {
    message: string;
    /** Whether a request was sent to a prefill engine, so that the next send counts as a retry. */
    sent: boolean;
}
