import type { MemoryUse } from "./memory_use.ts";

/** Memory of a budget that is held until it is closed. */
export interface MemoryReservation {
    /** Size in bytes. */
    readonly bytes: number;
    /**
     * Reserves more memory.
     *
     * @param bytes Further bytes.
     * @returns Whether they are reserved; otherwise the reservation is unchanged.
     */
    tryGrow(bytes: number): boolean;
    /**
     * Releases all but a part.
     *
     * @param bytes Size of the part in bytes.
     * @param use What it is for from now on; memory beyond the capacity keeps its use.
     */
    keep(bytes: number, use: MemoryUse): void;
    /** Releases the memory. Further calls do nothing. */
    close(): void;
}
