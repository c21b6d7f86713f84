import { connect, type Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { parseAddress } from "../instances/mod.ts";

/** A server that closes idle connections must not be asked again and again. */
const REOPEN_MILLISECONDS = 1_000;

/** Keeps an idle connection to a server, whose end is the first sign that the server has failed. */
export class CrashDetector {
    #socket: Socket | undefined;
    #openedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly onEnd: () => void) {}

    /** Opens the connection unless it is open. */
    watch(address: string): void {
        const now = monotonicMilliseconds();
        if (this.#socket || now - this.#openedAt < REOPEN_MILLISECONDS) {
            return;
        }
        this.#openedAt = now;
        const socket = connect(parseAddress(address));
        this.#socket = socket;
        socket.unref();
        socket.on("error", () => {});
        socket.on("close", () => {
            if (this.#socket === socket) {
                this.#socket = undefined;
                this.onEnd();
            }
        });
        socket.resume();
    }

    /** Closes the connection. */
    close(): void {
        const socket = this.#socket;
        this.#socket = undefined;
        socket?.destroy();
    }
}
