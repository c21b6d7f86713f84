import { totalmem } from "node:os";

const BYTES_PER_MEGABYTE = 1_000_000;

/** Reads the memory limit of this process in bytes; the settings' limit comes before that of the system. */
export function readMemoryLimit(memoryMegabytes: number | undefined): number {
    if (memoryMegabytes !== undefined) {
        return memoryMegabytes * BYTES_PER_MEGABYTE;
    }
    const constrainedBytes = process.constrainedMemory();
    const machineBytes = totalmem();
    return constrainedBytes > 0 && constrainedBytes < machineBytes ? constrainedBytes : machineBytes;
}
