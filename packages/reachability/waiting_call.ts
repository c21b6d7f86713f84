/** A call to a server that has not been answered yet. */
export interface WaitingCall {
    /** Id of the server. */
    readonly server: string;
    /** Time in milliseconds on the monitor's clock. */
    readonly startedAt: number;
}
