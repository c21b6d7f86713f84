/** An entry of the instance list. The list lags some seconds behind the actual state of the instances. */
export interface ListedInstance {
    /** Name of the instance. */
    name: string;
    /** IP address and port at which other instances reach it. */
    address: string;
    /** `"live"`: it serves requests; `"leaving"`: it is about to be removed. */
    state: "live" | "leaving";
}
