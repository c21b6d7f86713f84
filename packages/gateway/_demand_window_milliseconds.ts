/** Length in milliseconds of the window in which requested units are counted. */
export const demandWindowMilliseconds = 1_000;
