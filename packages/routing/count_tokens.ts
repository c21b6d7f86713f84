/**
 * Counts the tokens of a text the way limits and memory are counted.
 *
 * @param text The text.
 * @param bytesPerToken Bytes of UTF-8 that make one token of the model.
 * @returns The number of tokens, at least 1.
 * @example
 * ```ts
 * countTokens("12345678", 4); // 2
 * ```
 */
export function countTokens(text: string, bytesPerToken: number): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(text) / bytesPerToken));
}
