/** Why a prompt was not computed by a prefill engine. */
export interface PrefillFailure {
    message: string;
    /** Whether a prefill engine was asked, so that whatever is sent next counts as a retry. */
    sent: boolean;
}
