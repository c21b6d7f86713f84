import type { Socket } from "node:net";
import { closeAfterReading } from "../connections/mod.ts";

/**
 * Has the close that Node.js makes after a last response wait until what has arrived is read. Bytes that are unread then
 * would reset the connection, and the caller could lose that response.
 */
export function readBeforeClose(socket: Socket): void {
    socket.destroySoon = () => {
        socket.end();
        closeAfterReading(socket);
    };
}
