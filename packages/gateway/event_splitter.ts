import { PieceCollector } from "../memory/mod.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Largest event in bytes; an engine that sends more without ending the event has failed. */
const MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

/** One event of a stream. */
interface StreamEvent {
    /** The event as received, with the empty line that ends it. */
    bytes: Buffer;
    /** The event's id; undefined if it is missing or not a number. */
    id: number | undefined;
}

/** What the bytes so far end with, of what may become the empty line that ends an event. */
type LineState = "within a line" | "line feed" | "line feed and carriage return";

/**
 * Splits a stream of server-sent events into complete events. Each byte is searched once and copied at most twice, whatever the
 * size of the pieces.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n")).length; // 1
 * ```
 */
export class EventSplitter {
    readonly #pending = new PieceCollector();
    #state: LineState = "within a line";

    /** Number of buffered bytes of an incomplete event. */
    get pendingBytes(): number {
        return this.#pending.length;
    }

    /** Whether the incomplete event is larger than any event may be. */
    get isTooLarge(): boolean {
        return this.#pending.length > MAXIMUM_EVENT_BYTES;
    }

    /**
     * Adds received bytes.
     *
     * @param chunk The bytes, which must not be changed afterwards.
     * @returns The events that are now complete.
     */
    push(chunk: Buffer): StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.#findEnd(chunk, 0); end !== -1; end = this.#findEnd(chunk, start)) {
            const bytes = this.#complete(chunk.subarray(start, end));
            events.push({ bytes, id: parseId(bytes) });
            start = end;
        }
        if (start < chunk.length) {
            this.#pending.append(chunk.subarray(start));
        }
        return events;
    }

    /** Joins an event's last part with what is buffered of it. */
    #complete(lastPart: Buffer): Buffer {
        this.#state = "within a line";
        if (this.#pending.length === 0) {
            return lastPart;
        }
        this.#pending.append(lastPart);
        return this.#pending.concat();
    }

    /**
     * Finds the end of the first empty line; lines end with a line feed, with or without a carriage return before it. The empty
     * line may have begun in an earlier chunk.
     */
    #findEnd(chunk: Buffer, start: number): number {
        let at = start;
        while (at < chunk.length) {
            const byte = chunk[at];
            if (this.#state !== "within a line" && byte === LINE_FEED) {
                return at + 1;
            }
            if (this.#state === "line feed" && byte === CARRIAGE_RETURN) {
                this.#state = "line feed and carriage return";
                at++;
                continue;
            }
            const lineEnd = chunk.indexOf(LINE_FEED, at);
            this.#state = lineEnd === -1 ? "within a line" : "line feed";
            at = lineEnd === -1 ? chunk.length : lineEnd + 1;
        }
        return -1;
    }
}

function parseId(bytes: Buffer): number | undefined {
    const found = /(?:^|\n)id:[ ]?(\d+)/.exec(bytes.toString("latin1"));
    return found ? Number(found[1]) : undefined;
}
