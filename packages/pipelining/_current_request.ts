import type { IncomingMessage } from "node:http";
import { ChunkMerger } from "./_chunk_merger.ts";

/** The last request of a connection whose head was parsed, and what is due of its body. */
export class CurrentRequest {
    /** Undefined once the request is whole and answered, since its head takes memory. */
    #incoming: IncomingMessage | undefined;
    /** Bytes of its body that are still due; 0 if its length is not declared. */
    #bodyBytesDue = 0;
    /** Follows its body; undefined if that has no chunks. */
    #chunks: ChunkMerger | undefined;

    /** Whether its body has not been parsed to the end. */
    get isBodyUnderWay(): boolean {
        return this.#incoming !== undefined && !this.#incoming.complete;
    }

    /** Begins another request, whose head was parsed. */
    begin(incoming: IncomingMessage): void {
        this.#incoming = incoming;
        // The parser refuses a body with another encoding than chunks.
        const hasChunks = incoming.headers["transfer-encoding"] !== undefined;
        this.#chunks = hasChunks ? new ChunkMerger() : undefined;
        this.#bodyBytesDue = hasChunks ? 0 : Number(incoming.headers["content-length"] ?? 0);
    }

    /** Forgets a request that has been answered, once it is whole. */
    forget(incoming: IncomingMessage): void {
        if (!incoming.complete) {
            incoming.once("end", () => this.forget(incoming));
        }
        else if (this.#incoming === incoming) {
            this.#incoming = undefined;
        }
    }

    /** Whether bytes that wait go beyond its body; false if the length of that is not declared. */
    isFollowed(waitingBytes: number): boolean {
        return this.#incoming?.headers["transfer-encoding"] === undefined && waitingBytes > this.#bodyBytesDue;
    }

    /** Takes what is known to be of its body, for the parser, and the number of bytes in place of which that gets it. */
    takeBody(waiting: Buffer): { bytes: Buffer; taken: number; } | undefined {
        if (this.#bodyBytesDue > 0) {
            const bytes = waiting.subarray(0, this.#bodyBytesDue);
            this.#bodyBytesDue -= bytes.length;
            return { bytes, taken: bytes.length };
        }
        const bytes = this.isBodyUnderWay ? this.#chunks?.take(waiting) : undefined;
        return bytes && { bytes, taken: this.#chunks?.taken ?? 0 };
    }
}
