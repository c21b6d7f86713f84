import { connect, type Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { parseAddress } from "../instances/mod.ts";

/** Limits the rate of reconnects to a server that closes idle connections. */
const MINIMUM_RECONNECT_INTERVAL_MILLISECONDS = 1_000;

/** Keeps an idle connection to a server. The end of the connection is the first sign that the server has failed. */
export class CrashDetector {
    #socket: Socket | undefined;
    #lastConnectAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly onDisconnect: () => void) {}

    /** Opens the connection unless it is open or was opened less than the minimum interval ago. */
    watch(address: string): void {
        const now = monotonicMilliseconds();
        if (this.#socket || now - this.#lastConnectAt < MINIMUM_RECONNECT_INTERVAL_MILLISECONDS) {
            return;
        }
        this.#lastConnectAt = now;
        const socket = connect(parseAddress(address));
        this.#socket = socket;
        socket.unref();
        socket.on("error", () => {});
        socket.on("close", () => {
            if (this.#socket === socket) {
                this.#socket = undefined;
                this.onDisconnect();
            }
        });
        socket.resume();
    }

    /** Closes the connection without a call of `onDisconnect`. */
    close(): void {
        const socket = this.#socket;
        this.#socket = undefined;
        socket?.destroy();
    }
}
