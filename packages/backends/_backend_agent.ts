import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

/** Idle time in milliseconds after which a connection is closed when the server names none. */
const DEFAULT_IDLE_MILLISECONDS = 4_000;
/** Part of the server's idle timeout after which a connection is no longer used. */
const IDLE_SHARE = 0.6;
/** Silence in milliseconds after which the kernel probes a connection. */
const PROBE_MILLISECONDS = 1_000;

/** Methods that the types of Node omit; the base removes the listeners of an idle connection. */
const baseAgent = Agent.prototype as unknown as { reuseSocket(socket: Duplex, request: ClientRequest): void; };

/** Connections to one backend server. */
export class BackendAgent extends Agent {
    #idleMilliseconds = DEFAULT_IDLE_MILLISECONDS;

    constructor() {
        super({ keepAlive: true, keepAliveMsecs: PROBE_MILLISECONDS, scheduling: "lifo", noDelay: true });
    }

    /** Takes the server's idle timeout from its Keep-Alive header. */
    noteKeepAlive(header: string): void {
        const seconds = /timeout=(\d+)/.exec(header)?.[1];
        if (seconds !== undefined) {
            this.#idleMilliseconds = Number(seconds) * 1_000 * IDLE_SHARE;
        }
    }

    /** Decides whether a connection is kept; the types of Node omit this method. */
    keepSocketAlive(socket: Duplex): boolean {
        const connection = socket as Socket;
        if (connection.destroyed || this.#idleMilliseconds <= 0) {
            return false;
        }
        connection.setKeepAlive(true, PROBE_MILLISECONDS);
        connection.setTimeout(this.#idleMilliseconds);
        return true;
    }

    /** Prepares a kept connection for its next request. */
    reuseSocket(socket: Duplex, request: ClientRequest): void {
        (socket as Socket).setTimeout(0);
        baseAgent.reuseSocket.call(this, socket, request);
    }
}
