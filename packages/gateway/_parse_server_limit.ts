const DECIMAL = /^\d{1,15}(?:\.\d{1,1024})?$/;

/**
 * Parses the requests a second that a server takes; undefined if the value is not a decimal number without a sign. The
 * shortest text of a floating-point number may have hundreds of decimals.
 */
export function parseServerLimit(value: string): number | undefined {
    const text = value.trim();
    return DECIMAL.test(text) ? Number(text) : undefined;
}
