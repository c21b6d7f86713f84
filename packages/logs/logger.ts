/** Writes structured log entries. Fields must never contain an API key or a prompt. */
export interface Logger {
    /** Logs an ordinary event. */
    info(message: string, fields?: Record<string, unknown>): void;
    /** Logs an event that an operator may have to look at. */
    warn(message: string, fields?: Record<string, unknown>): void;
    /** Logs a failure. */
    error(message: string, fields?: Record<string, unknown>): void;
}
