/** What one process of an engine shows of a stream. */
export interface RunTrace {
    /**
     * `runs`: it runs the stream; `generated`: it has generated behind the last part of the stream's prompt; `read`: it has read that part;
     * `none`: it never has; `untold`: what it has read is not known; `silent`: it has not answered, but may yet.
     */
    kind: "runs" | "generated" | "read" | "none" | "untold" | "silent";
    /** Software version of the process; undefined if no entry tells it. */
    version: string | undefined;
}
