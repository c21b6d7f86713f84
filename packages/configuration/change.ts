import type { Operation } from "./operation.ts";

/** What turned the document of the preceding version into that of `version`. */
export interface Change {
    /** Version after the change. */
    version: number;
    /** Identifies the command that made the change, so that a lost answer is recognised. */
    attempt: string;
    /** The differences. */
    operations: Operation[];
}
