import type { Socket } from "node:net";

/** Whether Node.js has paused a socket. After the end of its input, it only does so for a full output. */
export function isStopped(socket: Socket, inputEnded: boolean): boolean {
    return inputEnded ? Reflect.get(socket, "_paused") === true : socket.isPaused();
}
