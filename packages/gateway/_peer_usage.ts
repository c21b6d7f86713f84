/** Last report of a running process. */
export interface PeerUsage {
    incarnation: string;
    spending: Record<string, number>;
    asked: Record<string, number>;
    assumedShare: number;
    /** Time of the report in milliseconds, by the clock of the usage. */
    at: number;
}
