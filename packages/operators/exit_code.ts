/** Exit codes of the command line. */
export const ExitCode = {
    /** Done, and in force everywhere if it was a change. */
    success: 0,
    /** A file has errors, or the command's words are off. */
    invalid: 1,
    /** The change is stored but not yet in force at every instance. */
    partial: 2,
    /** Another operator changed the configuration first. */
    raced: 3,
    /** No instance could be reached, or the store did not answer. */
    unavailable: 4,
} as const;
