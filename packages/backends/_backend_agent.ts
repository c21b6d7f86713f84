import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { monotonicMilliseconds } from "../clocks/mod.ts";

/** Idle timeout in milliseconds of a connection if the server does not send one. */
const DEFAULT_IDLE_MILLISECONDS = 4_000;
/** Longest idle time in milliseconds; timers accept no time without bounds. */
const MAXIMUM_IDLE_MILLISECONDS = 3_600_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Fraction of the server's idle timeout after which a connection is no longer used. */
const IDLE_FRACTION = 0.6;
/** Shortest time in milliseconds for which the id of a request is kept; longer than one request lasts. */
const ID_LIFETIME_MILLISECONDS = 20_000;
/** Idle time in milliseconds after which the kernel sends keep-alive probes. */
const PROBE_MILLISECONDS = 1_000;

/** A method that Node's types omit; the base implementation removes the listeners of an idle connection. */
const baseAgent = Agent.prototype as unknown as { reuseSocket(socket: Duplex, request: ClientRequest): void; };

/** Persistent connections to one backend server. */
export class BackendAgent extends Agent {
    #idleMilliseconds = DEFAULT_IDLE_MILLISECONDS;
    /** Ids of the requests that were sent since `#rotatedAt`, and in the period before. */
    #sentIds = new Set<string>();
    #formerIds = new Set<string>();
    #rotatedAt = monotonicMilliseconds();

    constructor() {
        super({ keepAlive: true, keepAliveMsecs: PROBE_MILLISECONDS, scheduling: "lifo", noDelay: true });
    }

    /** Applies the server's idle timeout from its Keep-Alive header. */
    applyKeepAlive(header: string): void {
        const seconds = /timeout=(\d+)/.exec(header)?.[1];
        if (seconds !== undefined) {
            const milliseconds = Number(seconds) * MILLISECONDS_PER_SECOND * IDLE_FRACTION;
            this.#idleMilliseconds = Math.min(MAXIMUM_IDLE_MILLISECONDS, milliseconds);
        }
    }

    /** Records a request and returns whether one with the same id was sent to the server before. */
    recordSend(id: string): boolean {
        const now = monotonicMilliseconds();
        if (now - this.#rotatedAt > ID_LIFETIME_MILLISECONDS) {
            this.#rotatedAt = now;
            this.#formerIds = this.#sentIds;
            this.#sentIds = new Set();
        }
        const isRepeated = this.hasSent(id);
        this.#sentIds.add(id);
        return isRepeated;
    }

    /** Returns whether a request with an id was sent to the server lately. */
    hasSent(id: string): boolean {
        return this.#sentIds.has(id) || this.#formerIds.has(id);
    }

    /** Returns whether an idle connection is kept; Node's types omit this method. */
    keepSocketAlive(socket: Duplex): boolean {
        const connection = socket as Socket;
        if (connection.destroyed || this.#idleMilliseconds <= 0) {
            return false;
        }
        connection.setKeepAlive(true, PROBE_MILLISECONDS);
        connection.setTimeout(this.#idleMilliseconds);
        return true;
    }

    /** Prepares an idle connection for its next request. */
    reuseSocket(socket: Duplex, request: ClientRequest): void {
        (socket as Socket).setTimeout(0);
        baseAgent.reuseSocket.call(this, socket, request);
    }
}
