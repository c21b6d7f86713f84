import { createHash } from "node:crypto";

/**
 * Hashes an API key. Only the hash is stored.
 *
 * @param key The key.
 * @returns SHA-256 in hexadecimal digits.
 * @example
 * ```ts
 * hashKey("secret").length; // 64
 * ```
 */
export function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}
