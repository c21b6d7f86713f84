/** Bytes beyond a limit that are still read and discarded, so that the caller gets the refusal, not a reset. */
export const DISCARDED_BYTES = 16 * 1_024 * 1_024;
