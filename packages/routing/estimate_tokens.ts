/**
 * Estimates the number of tokens of a text from its length. Limits and reservations use the same estimate.
 *
 * @param text The text.
 * @param bytesPerToken Number of UTF-8 bytes that count as one token of the model.
 * @returns The number of tokens, at least 1.
 * @example
 * ```ts
 * estimateTokens("12345678", 4); // 2
 * ```
 */
export function estimateTokens(text: string, bytesPerToken: number): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(text) / bytesPerToken));
}
