import type { Result } from "neverthrow";
import type { ListedInstance } from "./listed_instance.ts";

/** The platform's list of instances. */
export interface InstanceList {
    /** Fetches the list, or returns an error message. */
    fetch(): Promise<Result<ListedInstance[], string>>;
    /** Closes the persistent connections. */
    close(): Promise<void>;
}
