/** An item of the platform's store. */
export interface StoredItem {
    key: string;
    /** Text of the value; undefined when the bytes are not text. */
    value: string | undefined;
    /** Revision of the last change. */
    revision: number;
}
