/** Parts into which each organisation's rate and burst are split, each with a home of its own. */
export const SHARES_PER_ORGANISATION = 3;
