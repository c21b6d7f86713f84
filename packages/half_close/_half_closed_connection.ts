import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { InputEnds } from "./input_ends.ts";

/** Time in milliseconds from the first to the second interim response; it doubles up to the longest time. */
const FIRST_INTERVAL_MILLISECONDS = 20;
const LONGEST_INTERVAL_MILLISECONDS = 200;
/** Time in milliseconds in which a caller must have been probed; with the time to end its work, under half a second. */
const UNCERTAIN_AFTER_MILLISECONDS = 300;
/** Time in milliseconds within which the reset of a caller that has closed its connection arrives. */
const RESET_MILLISECONDS = 100;
/** Time in milliseconds of probes after which a request may be passed on. */
const PASS_ON_AFTER_MILLISECONDS = 60;
const INTERIM_RESPONSE_BYTES = "HTTP/1.1 100 Continue\r\n\r\n".length;

/**
 * A connection whose caller may close its sending side.
 *
 * @example
 * ```ts
 * const connection = new HalfClosedConnection(socket, pipeliningLimit);
 * connection.add(response);
 * ```
 */
export class HalfClosedConnection {
    /** Responses that have not ended, in the order of their requests, with what to call if the caller is uncertain. */
    readonly #responses = new Map<ServerResponse, () => void>();
    #timer: NodeJS.Timeout | undefined;
    #interval = FIRST_INTERVAL_MILLISECONDS;
    // Sums of intervals, not times of a clock: while the process stood still, no caller could be probed.
    #elapsed = 0;
    #sinceFirstBytes: number | undefined;
    #isCertain = false;
    /** Resume the requests that wait until their caller has been probed. */
    #waiting: (() => void)[] = [];
    #bytesWritten = 0;

    /** Bytes of the interim responses that were sent. */
    interimBytes = 0;

    /** Whether the caller has closed its sending side after a whole request. */
    isHalfClosed = false;

    /**
     * @param socket The connection.
     * @param inputEnds Tells when its whole input has been parsed.
     */
    constructor(private readonly socket: Socket, inputEnds: InputEnds) {
        socket.on("end", () => this.#begin());
        // Requests that are held back follow the last response at the socket's end.
        inputEnds.onInputEnd(socket, () => this.#announceClose());
        socket.on("close", () => {
            clearTimeout(this.#timer);
            this.#endWaiting();
        });
    }

    /**
     * Adds a response until it emits "close".
     *
     * @param response The response.
     */
    add(response: ServerResponse): void {
        this.#responses.set(response, () => {});
        response.on("close", () => this.#responses.delete(response));
    }

    /**
     * Sets what is called if the caller can't be shown to read.
     *
     * @param response The response.
     * @param listener The function.
     */
    addListener(response: ServerResponse, listener: () => void): void {
        if (this.#responses.has(response)) {
            this.#responses.set(response, listener);
        }
    }

    /**
     * Waits until a caller that has closed its sending side has been probed, if that is possible.
     *
     * @returns A promise that resolves once the connection is closed or its caller has been probed.
     */
    async whenProbed(): Promise<void> {
        if (this.isHalfClosed && this.interimBytes > 0 && this.#elapsed < PASS_ON_AFTER_MILLISECONDS) {
            await new Promise<void>(resolve => this.#waiting.push(resolve));
        }
    }

    #endWaiting(): void {
        this.#waiting.splice(0).forEach(resolve => resolve());
    }

    #begin(): void {
        const last = [...this.#responses.keys()].at(-1);
        if (this.isHalfClosed || !last?.req.complete || this.socket.destroyed) {
            return;
        }
        this.isHalfClosed = true;
        this.#bytesWritten = this.socket.bytesWritten;
        this.#probe();
    }

    #announceClose(): void {
        this.#begin();
        const last = [...this.#responses.keys()].at(-1);
        if (last?.req.complete && !last.headersSent) {
            last.shouldKeepAlive = false;
        }
    }

    /** Sends an interim response in front of the answer whose turn it is, if that is possible, and checks later. */
    #probe(): void {
        const [response] = this.#responses.keys();
        if (response?.socket && !response.headersSent && response.req.httpVersion === "1.1") {
            response.writeContinue();
            this.interimBytes += INTERIM_RESPONSE_BYTES;
        }
        this.#timer = setTimeout(() => this.#check(), this.#interval);
    }

    #check(): void {
        this.#elapsed += this.#interval;
        if (this.#sinceFirstBytes !== undefined) {
            this.#sinceFirstBytes += this.#interval;
        }
        if (this.socket.bytesWritten > this.#bytesWritten) {
            this.#bytesWritten = this.socket.bytesWritten;
            this.#sinceFirstBytes ??= 0;
            this.#isCertain ||= this.#sinceFirstBytes >= RESET_MILLISECONDS;
        }
        if (this.#elapsed >= UNCERTAIN_AFTER_MILLISECONDS && !this.#isCertain) {
            [...this.#responses.values()].forEach(listener => listener());
        }
        this.#interval = Math.min(2 * this.#interval, LONGEST_INTERVAL_MILLISECONDS);
        if (!this.socket.destroyed) {
            this.#probe();
        }
        if (this.#elapsed >= PASS_ON_AFTER_MILLISECONDS) {
            this.#endWaiting();
        }
    }
}
