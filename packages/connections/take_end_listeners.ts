import type { Socket } from "node:net";

/**
 * Takes the listeners of a socket's end away, so that they can be called later.
 *
 * @param socket The socket.
 * @returns The listeners, in their order.
 * @example
 * ```ts
 * const listeners = takeEndListeners(socket);
 * socket.on("end", () => listeners.forEach(listener => listener.call(socket)));
 * ```
 */
export function takeEndListeners(socket: Socket): ((this: Socket) => void)[] {
    const listeners = socket.rawListeners("end") as ((this: Socket) => void)[];
    listeners.forEach(listener => socket.removeListener("end", listener));
    return listeners;
}
