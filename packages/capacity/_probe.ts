import type { ProbeResult } from "./_probe_result.ts";

interface Probe<State> {
    /** Component that is measured. */
    role: string;
    /** Unit of the size, such as `members`. */
    unit: string;
    operation: string;
    size: number;
    operations: number;
    /** Builds the component's state at the given size. */
    build: () => State;
    /** Runs one operation. */
    operate: (state: State, index: number) => unknown;
}

/** Measures one component at one size. Heap sizes are only exact if Node.js runs with `--expose-gc`. */
export async function runProbe<State>(probe: Probe<State>): Promise<ProbeResult> {
    const heapBefore = heapBytes();
    const state = probe.build();
    const heapAfter = heapBytes();
    // The first half of the operations warms up the JIT compiler and is not measured.
    for (let index = 0; index < probe.operations; index++) {
        await probe.operate(state, index);
    }
    const startUsage = process.cpuUsage();
    for (let index = probe.operations; index < 2 * probe.operations; index++) {
        await probe.operate(state, index);
    }
    const { user, system } = process.cpuUsage(startUsage);
    const { role, unit, size, operation } = probe;
    return {
        role,
        unit,
        size,
        bytesPerUnit: Math.round((heapAfter - heapBefore) / size),
        microsecondsPerOperation: Math.round((user + system) / probe.operations * 100) / 100,
        operation,
    };
}

function heapBytes(): number {
    (globalThis as { gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
}
