import type { Socket } from "node:net";

/** Tells when the input of connections has ended. */
export interface InputEnds {
    /**
     * Has a function called once the whole input of a connection has been handed to the parser.
     *
     * @param socket The connection.
     * @param listener The function.
     */
    onInputEnd(socket: Socket, listener: () => void): void;
}
