import type { ProbeResult } from "./_probe_result.ts";

interface Probe<State> {
    role: string;
    unit: string;
    operation: string;
    size: number;
    operations: number;
    /** Builds the state of the given size. */
    build: () => State;
    /** Does one operation. */
    operate: (state: State, index: number) => unknown;
}

/** Measures one role at one size. Needs the collector: run with `--expose-gc`. */
export async function runProbe<State>(probe: Probe<State>): Promise<ProbeResult> {
    const before = heapBytes();
    const state = probe.build();
    const after = heapBytes();
    // The first half lets the compiler settle and is not counted.
    for (let index = 0; index < probe.operations; index++) {
        await probe.operate(state, index);
    }
    const started = process.cpuUsage();
    for (let index = probe.operations; index < 2 * probe.operations; index++) {
        await probe.operate(state, index);
    }
    const { user, system } = process.cpuUsage(started);
    const { role, unit, size, operation } = probe;
    return {
        role,
        unit,
        size,
        bytesPerUnit: Math.round((after - before) / size),
        microsecondsPerOperation: Math.round((user + system) / probe.operations * 100) / 100,
        operation,
    };
}

function heapBytes(): number {
    (globalThis as { gc?: () => void; }).gc?.();
    return process.memoryUsage().heapUsed;
}
