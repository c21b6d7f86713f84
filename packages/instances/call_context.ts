/** The authenticated caller of a method. */
export interface CallContext {
    /** Role that the caller proved in the handshake. */
    role: "instance" | "operator";
    /** Name of the caller. */
    name: string;
    /** Incarnation of the caller. */
    incarnation: string;
}
