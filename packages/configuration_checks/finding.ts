/** A problem of a configuration that its schema cannot express. */
export interface Finding {
    /** Path of the entry or field, such as `"routes.orders.path"`. */
    path: string;
    /** What is wrong. */
    message: string;
}
