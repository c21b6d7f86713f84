/** Bound of the memory that requests and answers may hold in one process. */
export { computeMemoryCapacity } from "./compute_memory_capacity.ts";
export { estimateHeadMemory } from "./estimate_head_memory.ts";
export { MemoryBudget } from "./memory_budget.ts";
export type { MemoryReservation } from "./memory_reservation.ts";
export type { MemoryUse } from "./memory_use.ts";
export { MemoryWatch } from "./memory_watch.ts";
export { PieceCollector } from "./piece_collector.ts";
export { ProcessMemory } from "./process_memory.ts";
export { ReadBufferCollector } from "./read_buffer_collector.ts";
export { readBuffers } from "./read_buffers.ts";
export { tryReserveInstead } from "./try_reserve_instead.ts";
export { watchSlowBody } from "./watch_slow_body.ts";
