/** An operator's order to move the traffic of a service to servers of another version. */
export interface RolloutOrder {
    /** Differs between two orders for the same service. */
    id: string;
    service: string;
    /** Version that the service is moved to. */
    version: string;
    /** Time in milliseconds within which the move must have been completed or taken back. */
    durationMilliseconds: number;
}
