import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { readBuffers } from "../memory/mod.ts";

const HEAD_END = Buffer.from("\r\n\r\n");
/** Bytes of a head that must be kept to find its end in the next read. */
const HEAD_END_OVERLAP = HEAD_END.length - 1;
/** Bytes after a response that are kept; enough for the head of another one. */
const MAXIMUM_TRAILING_BYTES = 4_096;

/**
 * Counts the bytes of a connection from a request on, to find those that follow a response whose length is known. They
 * show that the server has sent something else on the connection, which may have begun before the response was whole.
 *
 * @example
 * ```ts
 * const bytes = new ResponseBytes(outgoing);
 * outgoing.on("response", response => response.on("end", () => bytes.trailing().length));
 * ```
 */
export class ResponseBytes {
    /** Last bytes of the read before, followed by those of this read; undefined once the head has ended. */
    #head: Buffer | undefined = Buffer.alloc(0);
    #interimResponses = 0;
    /** Bytes of the body that are still due; undefined if the response does not tell its length. */
    #due: number | undefined;
    #trailing: Buffer[] = [];

    constructor(outgoing: ClientRequest) {
        outgoing.on("socket", (socket: Socket) => {
            // Runs before the parser, which reports the head of a response while it handles the read that ends it.
            socket.prependListener("data", this.#receive);
            outgoing.on("close", () => socket.off("data", this.#receive));
        });
        outgoing.on("information", () => this.#interimResponses++);
        outgoing.prependListener("response", response => this.#beginBody(response));
    }

    /** Bytes that have arrived after the body. */
    trailing(): Buffer {
        return Buffer.concat(this.#trailing);
    }

    readonly #receive = (chunk: Buffer): void => {
        readBuffers.count(chunk);
        if (this.#head) {
            const end = this.#head.subarray(-HEAD_END_OVERLAP);
            // A copy of the first read, which is a large one, would double what each call holds for a moment.
            this.#head = end.length === 0 ? chunk : Buffer.concat([end, chunk]);
            this.#interimResponses = 0;
        }
        else if (this.#due !== undefined) {
            this.#countBody(chunk);
        }
    };

    #beginBody(response: IncomingMessage): void {
        const head = this.#head ?? Buffer.alloc(0);
        this.#head = undefined;
        const length = response.headers["content-length"];
        if (length === undefined) {
            return;
        }
        let end = 0;
        for (let heads = 0; heads <= this.#interimResponses; heads++) {
            end = head.indexOf(HEAD_END, end) + HEAD_END.length;
        }
        this.#due = Number(length);
        this.#countBody(head.subarray(end));
    }

    #countBody(bytes: Buffer): void {
        const due = this.#due ?? 0;
        const kept = this.#trailing.reduce((sum, { length }) => sum + length, 0);
        if (bytes.length > due && kept < MAXIMUM_TRAILING_BYTES) {
            this.#trailing.push(bytes.subarray(due, due + MAXIMUM_TRAILING_BYTES));
        }
        this.#due = Math.max(0, due - bytes.length);
    }
}
