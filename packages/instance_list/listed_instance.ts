/** An instance as the platform lists it, some seconds late. */
export interface ListedInstance {
    /** Name of the instance. */
    name: string;
    /** IP number and port at which other instances reach it. */
    address: string;
    /** Whether it serves or is about to be taken away. */
    state: "live" | "leaving";
}
