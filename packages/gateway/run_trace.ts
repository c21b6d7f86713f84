/** What one process of an engine shows of a stream. */
export interface RunTrace {
    /**
     * `runs`: it runs the stream; `read`: it has read the stream's whole prompt; `prefilled`: it has, and may have done so for another engine; `none`: it never has; `untold`: it has ended, or can't tell all
     * that it has read; `silent`: it has not answered, but may yet.
     */
    kind: "runs" | "read" | "prefilled" | "none" | "untold" | "silent";
    /** Software version of the process; undefined if no entry tells it. */
    version: string | undefined;
}
