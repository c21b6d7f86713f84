/** One error in a settings or declaration file. */
export interface DocumentError {
    /** Line, counted from 1. */
    line: number;
    /** Column, counted from 1. */
    column: number;
    /** Path of the field, such as `organisations.north.tokensPerSecond`; empty for the whole document. */
    path: string;
    /** Description of the error. */
    message: string;
}
