import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionOptions } from "./_connection_options.ts";
import { readBeforeClose } from "./_read_before_close.ts";
import type { InputRefusal } from "./input_refusal.ts";

/** Bytes that are read and discarded while the last answers are due, before the connection is cut. */
const MAXIMUM_DISCARDED_BYTES = 16 * 1_024 * 1_024;

/** Input of a connection that is discarded, either since it was refused or since the last answer closes the connection. */
export class DiscardedInput {
    #hasBegun = false;
    #bytes = 0;
    /** Why input was refused, which is answered after the answers that are due. */
    #refusal: InputRefusal | undefined;

    constructor(
        private readonly socket: Socket,
        private readonly options: ConnectionOptions,
        private readonly countUnanswered: () => number,
    ) {}

    /** Whether input is discarded from now on. */
    get hasBegun(): boolean {
        return this.#hasBegun;
    }

    /** Begins to discard input. */
    begin(): void {
        this.#hasBegun = true;
        // Unread bytes would reset the connection when it is closed.
        readBeforeClose(this.socket);
    }

    /** Discards bytes; beyond a limit, the connection is closed. */
    discard(bytes: Buffer): void {
        this.#bytes += bytes.length;
        if (this.#bytes > MAXIMUM_DISCARDED_BYTES) {
            this.socket.destroy();
        }
    }

    /** Has the connection closed after its answers, the last of which says so where that is possible. */
    refuse(refusal: InputRefusal, bytes: number, lastResponse: ServerResponse | undefined): void {
        this.options.onDiscard?.(refusal, bytes, this.countUnanswered());
        if (refusal === "memory-full" && lastResponse?.headersSent === false) {
            lastResponse.shouldKeepAlive = false;
        }
        else {
            this.#refusal = refusal;
        }
    }

    /** Answers the refusal once no other answer is due. */
    answerSoon(): void {
        // Listeners of a response's close that are still to be called take its request to be under way.
        queueMicrotask(() => {
            if (this.countUnanswered() === 0 && this.#refusal !== undefined && this.socket.writable) {
                this.options.refuse(this.socket, this.#refusal);
            }
        });
    }
}
