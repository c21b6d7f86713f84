/** Cost of a role at one size. */
export interface ProbeResult {
    role: string;
    /** What the size counts. */
    unit: string;
    size: number;
    /** Heap bytes for each unit. */
    bytesPerUnit: number;
    /** Processor time in microseconds for one operation. */
    microsecondsPerOperation: number;
    /** What the operation is. */
    operation: string;
}
