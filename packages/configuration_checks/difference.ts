/** An entry that differs between two configurations. */
export interface Difference {
    /** Path of the entry, such as `"organisations.north"`. */
    path: string;
    /** What happened to the entry. */
    kind: "added" | "removed" | "changed";
    /** What the difference means for callers; empty if it does not restrict them. */
    effects: string[];
}
