/** Cost of a component at one size. */
export interface ProbeResult {
    /** Component that was measured. */
    role: string;
    /** Unit of the size, such as `members`. */
    unit: string;
    size: number;
    /** Heap bytes per unit. */
    bytesPerUnit: number;
    /** Processor time in microseconds per operation. */
    microsecondsPerOperation: number;
    /** Description of the operation. */
    operation: string;
}
