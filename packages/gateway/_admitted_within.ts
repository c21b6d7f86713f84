import { demandWindowMilliseconds } from "./_demand_window_milliseconds.ts";

/** Units that an instance may have admitted in a time of which no report has come: everything that was requested. */
export function admittedWithin(requestedPerWindow: number, milliseconds: number): number {
    return requestedPerWindow * milliseconds / demandWindowMilliseconds;
}
