import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { takeEndListeners } from "../connections/mod.ts";
import type { MemoryReservation } from "../memory/mod.ts";
import type { ConnectionOptions } from "./_connection_options.ts";
import { CurrentRequest } from "./_current_request.ts";
import { DiscardedInput } from "./_discarded_input.ts";
import { IncompleteHead } from "./_incomplete_head.ts";
import { InputMemory } from "./_input_memory.ts";
import { isStopped } from "./_is_stopped.ts";
import { LimitReport } from "./_limit_report.ts";
import { readBeforeClose } from "./_read_before_close.ts";
import type { InputRefusal } from "./input_refusal.ts";

/** Bytes of a connection that wait for their turn, from which it is not read. Below it, its close is noticed. */
const MAXIMUM_WAITING_BYTES = 16_384;
/** Bytes of a connection that wait, from which it has one request under way. */
const MAXIMUM_CONCURRENT_BYTES = 32_768;
const EMPTY = Buffer.alloc(0);

/** One connection, between its socket and its HTTP parser. */
export class PipelinedConnection {
    #waiting: Buffer = EMPTY;
    readonly #memory: InputMemory;
    #unanswered = 0;
    readonly #current = new CurrentRequest();
    /** The response to the last request; undefined once it has ended. */
    #lastResponse: ServerResponse | undefined;
    readonly #head: IncompleteHead;
    /** Whether the head that arrived last has become a request, or the end of its bytes was parsed. */
    #headEnded = false;
    #hasServed = false;
    /** Monotonic time in milliseconds at which the connection was opened or its last response ended. */
    #idleSince = monotonicMilliseconds();
    #advancing = false;
    /** Whether this limit has paused the socket, which Node.js also does. */
    #paused = false;
    readonly #limitReport: LimitReport;
    /** Whether what follows the last request whose head was parsed is discarded. */
    #endsInput = false;
    readonly #discarded: DiscardedInput;
    /** Whether the caller has closed its side; the parser learns it after the bytes that wait. */
    #inputEnded = false;
    readonly #endListeners: ((this: Socket) => void)[];

    constructor(
        private readonly socket: Socket,
        private readonly parse: (this: Socket, chunk: Buffer) => void,
        private readonly options: ConnectionOptions,
    ) {
        this.#memory = new InputMemory(options.memory);
        this.#head = new IncompleteHead(options.memory);
        this.#limitReport = new LimitReport(options.onLimit);
        this.#discarded = new DiscardedInput(socket, options, () => this.#unanswered);
        socket.removeListener("data", parse);
        socket.on("data", this.#receive);
        this.#endListeners = takeEndListeners(socket);
        socket.on("end", () => {
            this.#inputEnded = true;
            this.#advance();
        });
        socket.on("resume", () => this.#advance());
        socket.on("close", () => {
            this.#setWaiting(EMPTY);
            this.#memory.releaseUnread();
            this.#head.end();
        });
    }

    /** Bytes that have been read and not parsed. */
    get waitingBytes(): number {
        return this.#waiting.length;
    }

    /** Whether bytes wait that follow the last request whose head was parsed. */
    get hasFurtherRequest(): boolean {
        return this.#current.isFollowed(this.#waiting.length);
    }

    /** Has a function called once the whole input has been parsed. */
    onInputEnd(listener: () => void): void {
        this.#endListeners.push(listener);
    }

    /** Has what follows the last request whose head was parsed discarded, since its response closes the connection. */
    endInput(): void {
        this.#endsInput = true;
        this.#advance();
    }

    /** Hands over the memory that the head of the request which begins has taken so far. */
    takeHeadMemory(): MemoryReservation | undefined {
        return this.#headEnded ? this.#head.takeMemory() : undefined;
    }

    /** Counts a request, whose head was parsed, until its response has ended. */
    begin(incoming: IncomingMessage, response: ServerResponse): void {
        this.#hasServed = true;
        this.#unanswered++;
        this.#current.begin(incoming);
        this.#lastResponse = response;
        this.#headEnded = true;
        response.on("close", () => {
            this.#unanswered--;
            this.#idleSince = monotonicMilliseconds();
            this.#lastResponse = this.#lastResponse === response ? undefined : this.#lastResponse;
            this.#current.forget(incoming);
            this.#goOn();
        });
    }

    /** Time at which it was opened or its last response ended; undefined if a request is under way or it is being closed. */
    get idleSince(): number | undefined {
        return this.#awaitsRequest && this.socket.writable && !this.socket.writableLength ? this.#idleSince : undefined;
    }

    /** Whether bytes have been read that are no whole request yet. */
    get isArriving(): boolean {
        return this.#waiting.length > 0 || this.#head.isArriving || this.#current.isBodyUnderWay;
    }

    get #awaitsRequest(): boolean {
        return this.#unanswered === 0 && !this.isArriving && !this.#discarded.hasBegun;
    }

    /** Closes the connection if it has served requests and none is under way or arriving; one that is being closed is left to that. */
    closeIfIdle(): void {
        if (this.#hasServed && this.#awaitsRequest) {
            readBeforeClose(this.socket);
            this.socket.destroySoon();
        }
    }

    readonly #receive = (chunk: Buffer): void => {
        this.options.readBuffers.count(chunk);
        if (this.#discarded.hasBegun) {
            this.#discarded.discard(chunk);
        }
        else {
            this.#waiting = this.#waiting.length === 0 ? chunk : Buffer.concat([this.#waiting, chunk]);
            this.#advance();
        }
    };

    #goOn(): void {
        if (this.socket.destroyed) {
            return;
        }
        if (this.#discarded.hasBegun) {
            this.#discarded.answerSoon();
            return;
        }
        if (this.#paused) {
            this.#paused = false;
            this.socket.resume();
        }
        this.#advance();
    }

    /** Has the waiting bytes parsed as far as the limit allows, and keeps the rest. */
    #advance(): void {
        // Another listener takes the data once the connection is being closed.
        if (this.#advancing || this.socket.listenerCount("data", this.#receive) === 0) {
            return;
        }
        this.#advancing = true;
        try {
            this.#parseWaiting();
        }
        catch (error) {
            // The parser stands in the middle of a request, so what follows cannot be read.
            this.socket.destroy();
            throw error;
        }
        finally {
            this.#advancing = false;
        }
        if (this.#endsInput && !this.#discarded.hasBegun && !this.#current.isBodyUnderWay) {
            this.#discard();
        }
        this.#limitReport.update(this.#waiting.length > 0, () => !this.#mayParse());
        this.#setWaiting(this.#waiting);
        if (this.#waiting.length >= MAXIMUM_WAITING_BYTES && !this.#inputEnded && !this.socket.isPaused()) {
            this.#paused = true;
            this.socket.pause();
            readBeforeClose(this.socket);
        }
        this.#holdReceiveBuffer();
        if (this.#inputEnded && this.#waiting.length === 0) {
            this.#endListeners.splice(0).forEach(listener => listener.call(this.socket));
        }
    }

    #parseWaiting(): void {
        while (this.#waiting.length > 0 && !isStopped(this.socket, this.#inputEnded) && this.#mayParse()) {
            const slice = this.#nextSlice();
            if (!slice) {
                return;
            }
            this.parse.call(this.socket, slice);
            if (this.#headEnded) {
                this.#headEnded = false;
                this.#head.end();
            }
        }
    }

    #mayParse(): boolean {
        if (this.#current.isBodyUnderWay || this.#endsInput) {
            return this.#current.isBodyUnderWay;
        }
        // The close of a caller is only noticed by a read, or as the answer to a request fails.
        return this.#unanswered === 0
            || (this.#waiting.length < MAXIMUM_CONCURRENT_BYTES
                && this.#unanswered < this.options.maximumUnansweredRequests
                && (this.options.mayBeginAnother?.() ?? true));
    }

    /** Takes the rest of a body, or what follows up to the end of a head or of a chunked body; undefined if it is refused. */
    #nextSlice(): Buffer | undefined {
        const body = this.#current.takeBody(this.#waiting);
        if (body) {
            this.#takeWaiting(body.taken);
            return body.bytes;
        }
        const end = this.#head.findEnd(this.#waiting, this.#current.isBodyUnderWay);
        if (end !== undefined) {
            this.#headEnded = true;
            return this.#takeWaiting(end);
        }
        const refusal = this.#current.isBodyUnderWay
            ? undefined
            : this.#head.tryHold(this.#waiting, this.options.maximumHeadBytes());
        if (refusal !== undefined) {
            this.#refuse(refusal, this.#waiting.length);
            return undefined;
        }
        this.#head.remember(this.#waiting);
        return this.#takeWaiting(this.#waiting.length);
    }

    #takeWaiting(bytes: number): Buffer {
        const taken = this.#waiting.subarray(0, bytes);
        this.#waiting = this.#waiting.subarray(bytes);
        return taken;
    }

    #setWaiting(bytes: Buffer): void {
        if (bytes.length === 0) {
            this.#waiting = EMPTY;
            this.#memory.releaseWaiting();
        }
        else if (!this.#memory.coversWaiting(bytes.length)) {
            const isHeld = this.#memory.tryHoldWaiting(bytes.length);
            // A copy, since a part of a read keeps all of it in memory.
            this.#waiting = isHeld ? Buffer.from(bytes) : EMPTY;
            if (!isHeld) {
                this.#refuse("memory-full", bytes.length);
            }
        }
    }

    /** Reserves what arrives while the connection is not read; a body that is not read has its own memory. */
    #holdReceiveBuffer(): void {
        if (!this.socket.isPaused() || this.#inputEnded || this.#discarded.hasBegun || this.#current.isBodyUnderWay) {
            this.#memory.releaseUnread();
        }
        else if (!this.#memory.tryHoldUnread()) {
            this.#refuse("memory-full", this.#waiting.length);
        }
    }

    #refuse(refusal: InputRefusal, bytes: number): void {
        this.#discarded.refuse(refusal, bytes, this.#lastResponse);
        this.#discard();
        this.#discarded.answerSoon();
    }

    /** Discards what waits and what follows. */
    #discard(): void {
        this.#discarded.begin();
        this.#setWaiting(EMPTY);
        this.#memory.releaseUnread();
        this.#paused = false;
        this.socket.resume();
    }
}
