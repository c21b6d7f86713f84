const MILLISECONDS_PER_SECOND = 1_000;
const SECONDS_PATTERN = /^-?(\d+(\.\d*)?|\.\d+)$/;
/** A date as in `Sun, 06 Nov 1994 08:49:37 GMT`; its obsolete forms are not accepted. */
const DATE_PATTERN = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;

/**
 * Parses the value of a Retry-After header (RFC 9110, section 10.2.3), also seconds with a fraction.
 *
 * @param value The value.
 * @param sentAt Unix time in milliseconds by the clock of the sender, to which a date refers.
 * @returns The time in milliseconds; 0 for a negative number or a date in the past, and undefined if the value is
 * malformed.
 * @example
 * ```ts
 * parseRetryAfter("1.5", Date.now()); // 1500
 * parseRetryAfter("soon", Date.now()); // undefined
 * ```
 */
export function parseRetryAfter(value: string, sentAt: number): number | undefined {
    const trimmed = value.trim();
    if (SECONDS_PATTERN.test(trimmed)) {
        return Math.max(0, Number(trimmed) * MILLISECONDS_PER_SECOND);
    }
    const date = DATE_PATTERN.test(trimmed) ? Date.parse(trimmed) : Number.NaN;
    return Number.isNaN(date) ? undefined : Math.max(0, date - sentAt);
}
