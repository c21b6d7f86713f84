import { ReadBufferCollector } from "./read_buffer_collector.ts";

/** Buffers of the reads of this process; a collection frees those of all connections. */
export const readBuffers = new ReadBufferCollector();
