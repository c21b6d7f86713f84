const NEWLINE = 0x0a;
/** Largest event in bytes; an engine that sends more without ending the event has failed. */
const MAXIMUM_EVENT_BYTES = 1_024 * 1_024;

/** One event of a stream. */
interface StreamEvent {
    /** The event as received, with the empty line that ends it. */
    bytes: Buffer;
    /** The event's id; undefined if it is missing or not a number. */
    id: number | undefined;
}

/**
 * Splits a stream of server-sent events into complete events.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n")).length; // 1
 * ```
 */
export class EventSplitter {
    #buffered: Buffer = Buffer.alloc(0);

    /** Number of buffered bytes of an incomplete event. */
    get pendingBytes(): number {
        return this.#buffered.length;
    }

    /** Whether the incomplete event is larger than any event may be. */
    get isTooLarge(): boolean {
        return this.#buffered.length > MAXIMUM_EVENT_BYTES;
    }

    /**
     * Adds received bytes.
     *
     * @param chunk The bytes.
     * @returns The events that are now complete.
     */
    push(chunk: Buffer): StreamEvent[] {
        this.#buffered = this.#buffered.length === 0 ? chunk : Buffer.concat([this.#buffered, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        let end = findEnd(this.#buffered, start);
        while (end !== -1) {
            const bytes = this.#buffered.subarray(start, end);
            events.push({ bytes, id: parseId(bytes) });
            start = end;
            end = findEnd(this.#buffered, start);
        }
        this.#buffered = this.#buffered.subarray(start);
        return events;
    }
}

/** Finds the end of the first empty line; lines end with a line feed, with or without a carriage return before it. */
function findEnd(buffer: Buffer, start: number): number {
    for (let at = buffer.indexOf(NEWLINE, start); at !== -1; at = buffer.indexOf(NEWLINE, at + 1)) {
        const next = buffer[at + 1];
        if (next === NEWLINE) {
            return at + 2;
        }
        if (next === 0x0d && buffer[at + 2] === NEWLINE) {
            return at + 3;
        }
    }
    return -1;
}

function parseId(bytes: Buffer): number | undefined {
    const found = /(?:^|\n)id:[ ]?(\d+)/.exec(bytes.toString("latin1"));
    return found ? Number(found[1]) : undefined;
}
