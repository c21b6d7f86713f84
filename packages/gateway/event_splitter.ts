const NEWLINE = 0x0a;

/** One event of a stream. */
interface StreamEvent {
    /** The event as it was sent, with the empty line that ends it. */
    bytes: Buffer;
    /** Its id, if it has a numeric one. */
    id: number | undefined;
}

/**
 * Splits a stream of server-sent events into whole events.
 *
 * @example
 * ```ts
 * const splitter = new EventSplitter();
 * splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\n")).length; // 1
 * ```
 */
export class EventSplitter {
    #rest: Buffer = Buffer.alloc(0);

    /** Bytes of an event that is not complete yet. */
    get pendingBytes(): number {
        return this.#rest.length;
    }

    /**
     * Adds received bytes.
     *
     * @param chunk The bytes.
     * @returns The events that are now complete.
     */
    push(chunk: Buffer): StreamEvent[] {
        this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        let end = findEnd(this.#rest, start);
        while (end !== -1) {
            const bytes = this.#rest.subarray(start, end);
            events.push({ bytes, id: readId(bytes) });
            start = end;
            end = findEnd(this.#rest, start);
        }
        this.#rest = this.#rest.subarray(start);
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

function readId(bytes: Buffer): number | undefined {
    const found = /(?:^|\n)id:[ ]?(\d+)/.exec(bytes.toString("latin1"));
    return found ? Number(found[1]) : undefined;
}
