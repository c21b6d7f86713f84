/** Exit codes of the command line. */
export const ExitCode = {
    /** Success; a change is in force at every instance. */
    success: 0,
    /** A file or an argument of the command is invalid. */
    invalid: 1,
    /** The change is stored but not yet in force at every instance. */
    partial: 2,
    /** Another operator changed the configuration first. */
    raced: 3,
    /** No instance could be reached, or the store did not respond. */
    unavailable: 4,
} as const;
