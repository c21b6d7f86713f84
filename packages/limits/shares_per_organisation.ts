/** Number of shares into which each organisation's rate and burst are split, each with its own home. */
export const SHARES_PER_ORGANISATION = 3;
