/** Who made a call. */
export interface CallContext {
    /** Role that the caller proved. */
    role: "instance" | "operator";
    /** Name of the caller. */
    name: string;
    /** Incarnation of the caller. */
    incarnation: string;
}
