import type { Socket } from "node:net";
import type { MemoryBudget, ReadBufferCollector } from "../memory/mod.ts";
import type { InputRefusal } from "./input_refusal.ts";
import type { PipeliningLimitOptions } from "./pipelining_limit_options.ts";

/** Options that the connections of a server share. */
export interface ConnectionOptions extends PipeliningLimitOptions {
    memory: MemoryBudget;
    /** Frees the buffers of what the connections have received. */
    readBuffers: ReadBufferCollector;
    /** Largest head in bytes, without its first line. */
    maximumHeadBytes: () => number;
    /** Answers input that is refused and closes its connection. */
    refuse: (socket: Socket, refusal: InputRefusal) => void;
}
