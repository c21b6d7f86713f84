import type { Result } from "neverthrow";
import type { ListedInstance } from "./listed_instance.ts";

/** The platform's list of instances. */
export interface InstanceList {
    /** Fetches the list. */
    fetch(): Promise<Result<ListedInstance[], string>>;
    /** Closes kept-open connections. */
    close(): Promise<void>;
}
