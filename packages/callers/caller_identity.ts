/** The caller of a request. */
export interface CallerIdentity {
    /** Organisation of the key; empty on an open route. */
    organisation: string;
    /** Hash of the key; empty on an open route. */
    keyHash: string;
    /** The key itself, to keep it out of what is passed on; empty on an open route. */
    key: string;
}
