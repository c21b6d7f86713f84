const MILLISECONDS_PER_SECOND = 1_000;

/** Units that an instance may have admitted in a time of which no report has come: everything that was requested. */
export function admittedWithin(requestedPerSecond: number, milliseconds: number): number {
    return requestedPerSecond * milliseconds / MILLISECONDS_PER_SECOND;
}
